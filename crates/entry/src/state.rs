//! The tables that the modules of an entry share.

use crate::Settings;
use crate::batch::Batch;
use crate::config::Keeper;
use crate::directory::{Directory, Peer};
use crate::meters::Meters;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::fleet::{Subject, Values};
use shallotflow_core::name::Name;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::{member, outlier, retry, route, share};
use shallotflow_scheduler::entry::Entry;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Shorter than the agent's idle timeout, so that the entry closes idle connections first.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE_PER_TARGET: usize = 64;

/// The shared state of an entry.
pub struct State {
    /// The entry's settings.
    pub settings: Settings,
    /// Batch work.
    pub batch: Rc<dyn Batch>,
    /// Jobs of several tasks, if this entry accepts them.
    pub graphs: Option<Rc<Entry>>,
    /// The fleet configuration.
    pub config: Rc<Keeper>,
    /// The failure domains that the fleet configuration evacuates, as passed to `graphs`.
    pub evacuated: RefCell<BTreeSet<Name>>,
    /// Targets with their load, for routing.
    pub routes: RefCell<route::Table>,
    /// Targets with their announcements.
    pub members: RefCell<member::Table>,
    /// The retry budget.
    pub retries: RefCell<retry::Budget>,
    /// Recent results of the targets, for outlier ejection.
    pub outliers: RefCell<outlier::Table>,
    /// Requests in flight, by caller.
    pub shares: RefCell<share::Table>,
    /// Limits by which admission control sheds requests.
    pub share_settings: share::Settings,
    /// The metrics.
    pub meters: RefCell<Meters>,
    /// The random number generator for routing and for sampling entries.
    pub rng: RefCell<SmallRng>,
    /// Callers' connections and exchanges in flight.
    pub gate: Gate,
    /// The live entries.
    pub directory: RefCell<Directory>,
    quick_pool: Pool,
    watch_pool: Pool,
    request_count: Cell<u64>,
    started_unix_us: u64,
    clock: Monotonic,
}

impl State {
    /// Creates the state of an entry without targets.
    pub fn new(
        settings: Settings,
        own: Peer,
        batch: Rc<dyn Batch>,
        graphs: Option<Rc<Entry>>,
    ) -> Self {
        let members = member::Settings { heartbeat: settings.beat, ..member::Settings::default() };
        let routes = route::Table::new(route::Settings::default(), settings.domain.clone());
        // Responses of targets have no size limit, and a watcher may pause.
        let quick =
            Limits { idle: POOL_IDLE_TIMEOUT, body_bytes: u64::MAX, ..settings.limits.clone() };
        let watch = Limits { stall: settings.longest_deadline, ..quick.clone() };
        Self {
            batch,
            graphs,
            config: Rc::default(),
            evacuated: RefCell::default(),
            routes: RefCell::new(routes),
            members: RefCell::new(member::Table::new(members)),
            retries: RefCell::new(retry::Budget::new(retry::Settings::default())),
            rng: RefCell::new(SmallRng::seed_from_u64(settings.seed)),
            outliers: RefCell::new(outlier::Table::new(outlier::Settings::default())),
            shares: RefCell::new(share::Table::new(settings.seed)),
            share_settings: share::Settings {
                watchers: settings.watchers,
                ..share::Settings::default()
            },
            meters: RefCell::default(),
            quick_pool: Pool::new(quick, CONNECT_TIMEOUT, MAX_IDLE_PER_TARGET),
            watch_pool: Pool::new(watch, CONNECT_TIMEOUT, MAX_IDLE_PER_TARGET),
            gate: Gate::default(),
            directory: RefCell::new(Directory::new(own)),
            request_count: Cell::new(0),
            started_unix_us: unix_now_us(),
            clock: Monotonic,
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the values of the fleet configuration for work of `caller` on `kind` at this entry.
    pub fn values(&self, kind: &str, caller: &str) -> Values {
        let domain = &self.settings.domain;
        self.config.resolve(&Subject { domain, worker: "", kind, caller })
    }

    /// Returns the time until the deadline of a quick request that gives none.
    pub fn quick_deadline(&self, kind: &str, caller: &str) -> Duration {
        self.values(kind, caller).quick_deadline.min(self.settings.longest_deadline)
    }

    /// Returns the connection pool to agents and other entries for requests of `class`.
    pub fn pool(&self, class: Class) -> &Pool {
        match class {
            Class::Watch => &self.watch_pool,
            Class::Quick | Class::Batch => &self.quick_pool,
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.quick_pool.close_idle(address);
        self.watch_pool.close_idle(address);
    }

    /// Returns a new request identifier that is unique among entries and their restarts.
    pub fn next_request_id(&self) -> Name {
        let number = self.request_count.get() + 1;
        self.request_count.set(number);
        format!("{}-{}-{number}", self.settings.name, self.started_unix_us).into()
    }
}

fn unix_now_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

//! The tables that the parts of an entry share.

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
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are closed here before the agent closes them.
const POOL_IDLE: Duration = Duration::from_secs(30);
const POOL_PER_TARGET: usize = 64;

/// The tables of an entry.
pub struct State {
    /// How the entry runs.
    pub settings: Settings,
    /// Batch work.
    pub batch: Rc<dyn Batch>,
    /// Jobs of several tasks, if they are taken here.
    pub graphs: Option<Rc<Entry>>,
    /// The fleet configuration.
    pub config: Rc<Keeper>,
    /// Targets as the choice sees them.
    pub routes: RefCell<route::Table>,
    /// Targets as they announced themselves.
    pub members: RefCell<member::Table>,
    /// The budget for retries.
    pub retries: RefCell<retry::Budget>,
    /// Results of the targets.
    pub outliers: RefCell<outlier::Table>,
    /// Requests in progress, by caller.
    pub shares: RefCell<share::Table>,
    /// When requests are refused for the sake of others.
    pub share_settings: share::Settings,
    /// Metrics.
    pub meters: RefCell<Meters>,
    /// Random choices.
    pub rng: RefCell<SmallRng>,
    /// Callers' exchanges in progress.
    pub gate: Gate,
    /// The live entries.
    pub directory: RefCell<Directory>,
    quick_pool: Pool,
    watch_pool: Pool,
    requests: Cell<u64>,
    started_unix_us: u64,
    clock: Monotonic,
}

impl State {
    /// The state of an entry that knows no target yet.
    pub fn new(
        settings: Settings,
        own: Peer,
        batch: Rc<dyn Batch>,
        graphs: Option<Rc<Entry>>,
    ) -> Self {
        let members = member::Settings { heartbeat: settings.beat, ..member::Settings::default() };
        let routes = route::Table::new(route::Settings::default(), settings.domain.clone());
        // What a target answers is not limited in size, and a watcher may pause.
        let quick = Limits { idle: POOL_IDLE, body_bytes: u64::MAX, ..settings.limits.clone() };
        let watch = Limits { stall: settings.longest_deadline, ..quick.clone() };
        Self {
            batch,
            graphs,
            config: Rc::default(),
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
            quick_pool: Pool::new(quick, CONNECT_TIMEOUT, POOL_PER_TARGET),
            watch_pool: Pool::new(watch, CONNECT_TIMEOUT, POOL_PER_TARGET),
            gate: Gate::default(),
            directory: RefCell::new(Directory::new(own)),
            requests: Cell::new(0),
            started_unix_us: unix_now_us(),
            clock: Monotonic,
            settings,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The values of the fleet configuration for work of `caller` on `kind` at this entry.
    pub fn values(&self, kind: &str, caller: &str) -> Values {
        let domain = &self.settings.domain;
        self.config.resolve(&Subject { domain, worker: "", kind, caller })
    }

    /// The time for a quick request that names no deadline.
    pub fn quick_deadline(&self, kind: &str, caller: &str) -> Duration {
        self.values(kind, caller).quick_deadline.min(self.settings.longest_deadline)
    }

    /// Connections to agents and other entries for requests of `class`.
    pub fn pool(&self, class: Class) -> &Pool {
        match class {
            Class::Watch => &self.watch_pool,
            Class::Quick | Class::Batch => &self.quick_pool,
        }
    }

    /// Closes the idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.quick_pool.close_idle(address);
        self.watch_pool.close_idle(address);
    }

    /// A new identifier for a request, unique among entries and their restarts.
    pub fn next_request_id(&self) -> Name {
        let number = self.requests.get() + 1;
        self.requests.set(number);
        format!("{}-{}-{number}", self.settings.name, self.started_unix_us).into()
    }
}

fn unix_now_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

//! Settings of an agent.

use super::limits::{Limits, with_limits};
use super::span::{ms, s};
use crate::ini::codec::{Address, Count, Filter, Label, List, Optional, Size, Span};
use crate::ini::{self, Document, Fault, Key, Required, Table, key};
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// How an agent runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The worker that it stands beside.
    pub worker: Name,
    /// The failure domain it runs in.
    pub domain: Name,
    /// Where entries send requests, ip:port; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operators_listen: SocketAddr,
    /// Where it first announces itself: the balancer's address for entries' peers.
    pub entries: Vec<SocketAddr>,
    /// The target that answers requests.
    pub target: SocketAddr,
    /// The worker's control interface.
    pub control: SocketAddr,
    /// The worker's interface for tasks of graphs; without it, none run there.
    pub runs: Option<SocketAddr>,
    /// The endpoints of the platform's store, where the owner of the graphs is found.
    pub store: Vec<SocketAddr>,
    /// How long a task of a graph runs after its lease was last renewed; a new owner waits for the
    /// longest that may be set.
    pub run_lease: Duration,
    /// How many entries it reports to at most.
    pub report_to: usize,
    /// How long a graceful stop may take.
    pub drain: Duration,
    /// What it logs: a level, then `target=level` for parts of it.
    pub log: Name,
    /// Limits on HTTP connections.
    pub limits: Limits,
    /// The seed of its random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            worker: "worker-1".into(),
            domain: "default".into(),
            listen: any_port,
            operators_listen: any_port,
            entries: Vec::new(),
            target: any_port,
            control: any_port,
            runs: None,
            store: Vec::new(),
            run_lease: Duration::from_secs(6),
            report_to: 3,
            drain: Duration::from_secs(30),
            log: "info".into(),
            limits: Limits::default(),
            seed: 1,
        }
    }
}

const REQUIRED: &[Required] = &[
    Required { section: "agent", key: "worker" },
    Required { section: "agent", key: "entries" },
    Required { section: "agent", key: "target" },
    Required { section: "agent", key: "control" },
];

/// The keys of the settings file.
pub const KEYS: &[Key<Settings>] = with_limits![
    key!("agent", worker: Label, "The worker that it stands beside."),
    key!("agent", domain: Label, "The failure domain it runs in."),
    key!("agent", listen: Address, "Where entries send requests; port 0 takes a free one."),
    key!("agent", operators_listen: Address, "Where operators connect."),
    key!("agent", entries: List<Address>, "Where it first announces itself: the balancer's address for entries' peers."),
    key!("agent", target: Address, "The target that answers requests."),
    key!("agent", control: Address, "The worker's control interface."),
    key!("agent", runs: Optional<Address>, "The worker's interface for tasks of graphs; empty to run none."),
    key!("agent", store: List<Address>, "Endpoints of the store, where the owner of the graphs is found; needed beside runs."),
    key!("agent", run_lease: Span, "How long a task of a graph runs after its lease was last renewed; owners wait for 6 s of it.", ms(1_000)..=s(6)),
    key!("agent", report_to: Count<usize>, "How many entries it reports to at most.", 1..=64),
    key!("agent", drain: Span, "How long a graceful stop may take.", ms(0)..=s(3600)),
    key!("agent", log: Filter, "What it logs: a level, then `target=level` for parts of it."),
    key!("agent", seed: Count<u64>, "Seed of its random choices."),
];

impl Settings {
    /// The keys as a table.
    pub const TABLE: Table<Self> = Table { keys: KEYS, required: REQUIRED, check: Self::check };

    /// Reads the settings file at `path`; keys that it leaves out keep their defaults.
    ///
    /// # Errors
    ///
    /// Names the file, the line and the remedy.
    pub fn load(path: &Path) -> ini::Result<Self> {
        Self::TABLE.load(path)
    }

    /// Reads settings from `text`; `file` is the name that messages carry.
    ///
    /// # Errors
    ///
    /// Names the file, the line and the remedy.
    pub fn parse(file: &str, text: &str) -> ini::Result<Self> {
        Self::TABLE.parse(file, text)
    }

    fn check(&self, document: &Document) -> ini::Result<()> {
        if self.runs.is_some() && self.store.is_empty() {
            let line = document.line_of("agent", "runs");
            let message = "runs is set and no store is".to_owned();
            let fault = Fault::conflict(message, "give the endpoints of the `store`");
            return Err(document.error(line, fault));
        }
        Ok(())
    }
}

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

/// The settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The worker that it manages.
    pub worker: Name,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// The listen address for requests from entries, ip:port; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The listen address for operators.
    pub operators_listen: SocketAddr,
    /// The addresses for its first announcement: those of the load balancer for the entries' peer
    /// listeners.
    pub entries: Vec<SocketAddr>,
    /// The address of the target, which serves requests.
    pub target: SocketAddr,
    /// The address of the worker's control interface.
    pub control: SocketAddr,
    /// The address of the worker's interface for graph tasks; if unset, none run on the worker.
    pub runs: Option<SocketAddr>,
    /// The endpoints of the platform's store, used to look up the owner of the graphs.
    pub store: Vec<SocketAddr>,
    /// How long a graph task keeps running after the last renewal of its lease; a new owner waits
    /// for the maximum that can be configured.
    pub run_lease: Duration,
    /// Maximum number of entries that it reports to.
    pub report_to: usize,
    /// Maximum duration of a graceful shutdown.
    pub drain: Duration,
    /// The log filter: a default level, then `target=level` rules.
    pub log: Name,
    /// Limits on HTTP connections.
    pub limits: Limits,
    /// The seed of its random number generator.
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
    key!("agent", worker: Label, "The worker that it manages."),
    key!("agent", domain: Label, "Failure domain that it runs in."),
    key!("agent", listen: Address, "Listen address for requests from entries; port 0 selects a free port."),
    key!("agent", operators_listen: Address, "Listen address for operators."),
    key!("agent", entries: List<Address>, "Addresses for its first announcement: those of the load balancer for the entries' peer listeners."),
    key!("agent", target: Address, "Address of the target, which serves requests."),
    key!("agent", control: Address, "Address of the worker's control interface."),
    key!("agent", runs: Optional<Address>, "Address of the worker's interface for graph tasks; empty to run none."),
    key!("agent", store: List<Address>, "Endpoints of the store, used to look up the owner of the graphs; required if `runs` is set."),
    key!("agent", run_lease: Span, "How long a graph task keeps running after the last renewal of its lease; a new owner waits for the maximum, 6 s.", ms(1_000)..=s(6)),
    key!("agent", report_to: Count<usize>, "Maximum number of entries that it reports to.", 1..=64),
    key!("agent", drain: Span, "Maximum duration of a graceful shutdown.", ms(0)..=s(3600)),
    key!("agent", log: Filter, "Log filter: a default level, then `target=level` rules."),
    key!("agent", seed: Count<u64>, "Seed of its random number generator."),
];

impl Settings {
    /// The table of keys.
    pub const TABLE: Table<Self> = Table { keys: KEYS, required: REQUIRED, check: Self::check };

    /// Reads the settings file at `path`; omitted keys keep their defaults.
    ///
    /// # Errors
    ///
    /// The error gives the file, the line and the remedy.
    pub fn load(path: &Path) -> ini::Result<Self> {
        Self::TABLE.load(path)
    }

    /// Parses settings from `text`; `file` is the file name used in error messages.
    ///
    /// # Errors
    ///
    /// The error gives the file, the line and the remedy.
    pub fn parse(file: &str, text: &str) -> ini::Result<Self> {
        Self::TABLE.parse(file, text)
    }

    fn check(&self, document: &Document) -> ini::Result<()> {
        if self.runs.is_some() && self.store.is_empty() {
            let line = document.line_of("agent", "runs");
            let message = "`runs` is set but `store` is not".to_owned();
            let fault = Fault::conflict(message, "set `store` to the endpoints of the store");
            return Err(document.error(line, fault));
        }
        Ok(())
    }
}

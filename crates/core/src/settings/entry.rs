//! Settings of an entry.

use super::limits::{Limits, with_limits};
use super::span::{ms, s};
use crate::ini::codec::{Address, Count, Filter, Label, List, Optional, Size, Span};
use crate::ini::{self, Document, Fault, Key, Required, Table, key};
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this entry, unique among entries.
    pub name: Name,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// The listen address for callers, ip:port; port 0 selects a free port.
    pub callers_listen: SocketAddr,
    /// The listen address for agents and other entries.
    pub peers_listen: SocketAddr,
    /// The listen address for calls of agents and other entries about graph jobs; if unset, such
    /// jobs are rejected.
    pub graphs_listen: Option<SocketAddr>,
    /// The address announced instead of `graphs_listen`, for use behind address translation.
    pub graphs_announce: Option<SocketAddr>,
    /// The listen address for operators.
    pub operators_listen: SocketAddr,
    /// The endpoints of the platform's store; if empty, batch work is rejected.
    pub store: Vec<SocketAddr>,
    /// Number of ledgers that jobs are divided into; must be the same in the whole fleet.
    pub ledgers: u32,
    /// How long the ownership of a ledger lasts without renewal in the store.
    pub owner_lease: Duration,
    /// How long a task keeps running after the last report that renewed its lease.
    pub task_lease: Duration,
    /// Maximum interval between reports of an agent (the heartbeat interval).
    pub beat: Duration,
    /// Maximum deadline that a request may specify.
    pub longest_deadline: Duration,
    /// Maximum number of concurrent watchers.
    pub watchers: u32,
    /// How long an entry that is shutting down still accepts connections, so that load balancers
    /// can detect the shutdown.
    pub linger: Duration,
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
            name: "entry-1".into(),
            domain: "default".into(),
            callers_listen: any_port,
            peers_listen: any_port,
            graphs_listen: None,
            graphs_announce: None,
            operators_listen: any_port,
            store: Vec::new(),
            ledgers: 8,
            owner_lease: Duration::from_secs(5),
            task_lease: Duration::from_secs(10),
            beat: Duration::from_millis(500),
            longest_deadline: Duration::from_secs(600),
            watchers: 4_096,
            linger: Duration::from_millis(500),
            drain: Duration::from_secs(30),
            log: "info".into(),
            limits: Limits::default(),
            seed: 1,
        }
    }
}

const REQUIRED: &[Required] = &[Required { section: "entry", key: "name" }];

/// The keys of the settings file.
pub const KEYS: &[Key<Settings>] = with_limits![
    key!("entry", name: Label, "Name of this entry, unique among entries."),
    key!("entry", domain: Label, "Failure domain that it runs in."),
    key!("entry", callers_listen: Address, "Listen address for callers; port 0 selects a free port."),
    key!("entry", peers_listen: Address, "Listen address for agents and other entries."),
    key!("entry", graphs_listen: Optional<Address>, "Listen address for calls of agents and other entries about graph jobs; empty to reject such jobs."),
    key!("entry", graphs_announce: Optional<Address>, "Address announced instead of `graphs_listen`, for use behind address translation."),
    key!("entry", operators_listen: Address, "Listen address for operators."),
    key!("entry", store: List<Address>, "Endpoints of the store; if empty, batch work is rejected."),
    key!("entry", ledgers: Count<u32>, "Number of ledgers that jobs are divided into; must be the same in the whole fleet.", 1..=1024),
    key!("entry", owner_lease: Span, "How long the ownership of a ledger lasts without renewal in the store.", ms(200)..=s(300)),
    key!("entry", task_lease: Span, "How long a task keeps running after the last report that renewed its lease.", ms(200)..=s(300)),
    key!("entry", beat: Span, "Maximum interval between reports of an agent (the heartbeat interval).", ms(10)..=s(60)),
    key!("entry", longest_deadline: Span, "Maximum deadline that a request may specify.", ms(1)..=s(24 * 3600)),
    key!("entry", watchers: Count<u32>, "Maximum number of concurrent watchers.", 0..=1_000_000),
    key!("entry", linger: Span, "How long an entry that is shutting down still accepts connections, so that load balancers can detect the shutdown.", ms(0)..=s(60)),
    key!("entry", drain: Span, "Maximum duration of a graceful shutdown.", ms(0)..=s(3600)),
    key!("entry", log: Filter, "Log filter: a default level, then `target=level` rules."),
    key!("entry", seed: Count<u64>, "Seed of its random number generator."),
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
        let conflict = |key: &str, message: String, remedy: &str| {
            let line = document.line_of("entry", key);
            Err(document.error(line, Fault::conflict(message, remedy)))
        };
        if self.graphs_listen.is_some() && self.store.is_empty() {
            let message = "`graphs_listen` is set but `store` is not".to_owned();
            return conflict("graphs_listen", message, "set `store` to the endpoints of the store");
        }
        if self.graphs_announce.is_some() && self.graphs_listen.is_none() {
            let message = "`graphs_announce` is set but `graphs_listen` is not".to_owned();
            return conflict(
                "graphs_announce",
                message,
                "set `graphs_listen`, or remove `graphs_announce`",
            );
        }
        if self.task_lease < self.beat * 2 {
            let (lease, beat) = (self.task_lease, self.beat);
            let message =
                format!("`task_lease` of {lease:?} is less than twice the `beat` of {beat:?}");
            return conflict("task_lease", message, "raise it, or lower `beat`");
        }
        Ok(())
    }
}

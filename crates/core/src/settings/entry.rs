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

/// How an entry runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this entry, unique among entries.
    pub name: Name,
    /// The failure domain it runs in.
    pub domain: Name,
    /// Where callers connect, ip:port; port 0 takes a free one.
    pub callers_listen: SocketAddr,
    /// Where agents and other entries connect.
    pub peers_listen: SocketAddr,
    /// Where agents and other entries call about jobs of several tasks; without it, such jobs are
    /// refused.
    pub graphs_listen: Option<SocketAddr>,
    /// What others are told instead of `graphs_listen`, behind a translation of addresses.
    pub graphs_announce: Option<SocketAddr>,
    /// Where operators connect.
    pub operators_listen: SocketAddr,
    /// The endpoints of the platform's store; without any, batch work is refused.
    pub store: Vec<SocketAddr>,
    /// Into how many ledgers jobs are divided; the same in the whole fleet.
    pub ledgers: u32,
    /// How long a ledger stays owned without a renewal at the store.
    pub owner_lease: Duration,
    /// How long a task runs after the report that last renewed it.
    pub task_lease: Duration,
    /// The longest time between two reports of an agent.
    pub beat: Duration,
    /// The farthest deadline that a request may name.
    pub longest_deadline: Duration,
    /// Most watchers that the entry holds at a time.
    pub watchers: u32,
    /// How long a leaving entry still accepts connections, so that balancers see that it leaves.
    pub linger: Duration,
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
    key!("entry", name: Label, "The name of this entry, unique among entries."),
    key!("entry", domain: Label, "The failure domain it runs in."),
    key!("entry", callers_listen: Address, "Where callers connect; port 0 takes a free one."),
    key!("entry", peers_listen: Address, "Where agents and other entries connect."),
    key!("entry", graphs_listen: Optional<Address>, "Where agents and other entries call about jobs of several tasks; empty to refuse those."),
    key!("entry", graphs_announce: Optional<Address>, "What others are told instead of graphs_listen, behind a translation of addresses."),
    key!("entry", operators_listen: Address, "Where operators connect."),
    key!("entry", store: List<Address>, "Endpoints of the store; without any, batch work is refused."),
    key!("entry", ledgers: Count<u32>, "Into how many ledgers jobs are divided; the same in the whole fleet.", 1..=1024),
    key!("entry", owner_lease: Span, "How long a ledger stays owned without a renewal at the store.", ms(200)..=s(300)),
    key!("entry", task_lease: Span, "How long a task runs after the report that last renewed it.", ms(200)..=s(300)),
    key!("entry", beat: Span, "Longest time between two reports of an agent.", ms(10)..=s(60)),
    key!("entry", longest_deadline: Span, "Farthest deadline that a request may name.", ms(1)..=s(24 * 3600)),
    key!("entry", watchers: Count<u32>, "Most watchers that the entry holds at a time.", 0..=1_000_000),
    key!("entry", linger: Span, "How long a leaving entry still accepts connections, so that balancers see that it leaves.", ms(0)..=s(60)),
    key!("entry", drain: Span, "How long a graceful stop may take.", ms(0)..=s(3600)),
    key!("entry", log: Filter, "What it logs: a level, then `target=level` for parts of it."),
    key!("entry", seed: Count<u64>, "Seed of its random choices."),
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
        let conflict = |key: &str, message: String, remedy: &str| {
            let line = document.line_of("entry", key);
            Err(document.error(line, Fault::conflict(message, remedy)))
        };
        if self.graphs_listen.is_some() && self.store.is_empty() {
            let message = "graphs_listen is set and no store is".to_owned();
            return conflict("graphs_listen", message, "give the endpoints of the `store`");
        }
        if self.graphs_announce.is_some() && self.graphs_listen.is_none() {
            let message = "graphs_announce is set and graphs_listen is not".to_owned();
            return conflict("graphs_announce", message, "set `graphs_listen`, or leave both out");
        }
        if self.task_lease < self.beat * 2 {
            let (lease, beat) = (self.task_lease, self.beat);
            let message = format!("task_lease {lease:?} is less than two beats of {beat:?}");
            return conflict("task_lease", message, "raise it, or lower `beat`");
        }
        Ok(())
    }
}

//! Settings of the stand-ins of the platform.

use super::limits::{Limits, with_limits};
use super::span::{ms, s};
use crate::graph::Queue;
use crate::ini::codec::{Address, Count, Filter, Flag, Label, List, Optional, Size, Span};
use crate::ini::{self, Key, Table, key};
use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// How the stand-ins run; a process may run any of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where the store listens, if it runs here.
    pub store_listen: Option<SocketAddr>,
    /// Where the worker's control interface listens, if the worker runs here.
    pub control_listen: Option<SocketAddr>,
    /// Where the target listens, if the worker runs here.
    pub target_listen: Option<SocketAddr>,
    /// Where the worker takes tasks of graphs, if it runs here and does.
    pub runs_listen: Option<SocketAddr>,
    /// The worker's name.
    pub worker: Name,
    /// Whether what happens to tasks of graphs is printed, one JSON line for each fact.
    pub print_facts: bool,
    /// The service that the worker runs tasks of graphs for.
    pub service: Name,
    /// The worker's labels: its kind, then its rack.
    pub labels: Vec<Name>,
    /// What the worker can hold.
    pub capacity: Bundle,
    /// The kinds that the target serves.
    pub kinds: Vec<Name>,
    /// How kinds behave; a kind without a profile takes the default one.
    pub profiles: Vec<Profile>,
    /// How much kinds slow each other down; other pairs do not.
    pub disturbances: Vec<Disturbance>,
    /// Time between two usage samples of a task.
    pub usage_period: Duration,
    /// Time from the moment that a usage sample describes until it is reported.
    pub report_lag: Duration,
    /// Time after which a leaving target counts a start as a violation.
    pub leaving_grace: Duration,
    /// How long a graceful stop waits for requests in progress.
    pub drain: Duration,
    /// Whether every task that starts here fails at once.
    pub fails_tasks: bool,
    /// What it logs: a level, then `target=level` for parts of it.
    pub log: Name,
    /// Limits on HTTP connections.
    pub limits: Limits,
    /// The seed of service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        Self {
            store_listen: None,
            control_listen: any_port,
            target_listen: any_port,
            runs_listen: None,
            worker: "worker-1".into(),
            print_facts: false,
            service: Queue::SERVICE.into(),
            labels: Vec::new(),
            capacity: Bundle {
                slots: 8,
                connections: 64,
                millicores: 64_000,
                memory_mib: 250_000,
                accelerators: 0,
            },
            kinds: Vec::new(),
            profiles: Vec::new(),
            disturbances: Vec::new(),
            usage_period: Duration::from_millis(100),
            report_lag: Duration::from_millis(500),
            leaving_grace: Duration::from_secs(3),
            drain: Duration::from_secs(30),
            fails_tasks: false,
            log: "info".into(),
            limits: Limits::default(),
            seed: 1,
        }
    }
}

/// The keys of the settings file.
pub const KEYS: &[Key<Settings>] = with_limits![
    key!("standin", store_listen: Optional<Address>, "Where the store listens; empty to leave it out."),
    key!("standin", control_listen: Optional<Address>, "Where the worker's control interface listens; empty to leave it out."),
    key!("standin", target_listen: Optional<Address>, "Where the target listens; empty to leave it out."),
    key!("standin", runs_listen: Optional<Address>, "Where the worker takes tasks of graphs; empty to leave it out."),
    key!("standin", worker: Label, "The worker's name."),
    key!("standin", print_facts: Flag, "Whether what happens to tasks of graphs is printed, one JSON line for each fact."),
    key!("standin", service: Label, "The service that the worker runs tasks of graphs for."),
    key!("standin", labels: List<Label>, "The worker's labels: its kind, then its rack."),
    key!("standin", kinds: List<Label>, "The kinds that the target serves."),
    key!("standin", usage_period: Span, "Time between two usage samples of a task.", ms(1)..=s(3600)),
    key!("standin", report_lag: Span, "Time from the moment that a usage sample describes until it is reported.", ms(0)..=s(3600)),
    key!("standin", leaving_grace: Span, "Time after which a leaving target counts a start as a violation.", ms(0)..=s(3600)),
    key!("standin", drain: Span, "How long a graceful stop waits for requests in progress.", ms(0)..=s(3600)),
    key!("standin", log: Filter, "What it logs: a level, then `target=level` for parts of it."),
    key!("standin", seed: Count<u64>, "Seed of service times."),
    key!("capacity", capacity.slots: Count<u32>, "Places for running tasks."),
    key!("capacity", capacity.connections: Count<u32>, "Open connections."),
    key!("capacity", capacity.millicores: Count<u32>, "Thousandths of a processor."),
    key!("capacity", capacity.memory_mib: Count<u32>, "Memory in mebibytes."),
    key!("capacity", capacity.accelerators: Count<u32>, "Whole accelerators."),
];

impl Settings {
    /// The keys as a table.
    pub const TABLE: Table<Self> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };

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
}

/// How work of one kind behaves when it runs alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// The kind.
    pub kind: Name,
    /// The median run time; a task whose payload names `run_ms` takes that instead.
    pub median: Duration,
    /// Spread of the log-normal run time: its standard deviation in thousandths of a natural
    /// logarithm.
    pub sigma_milli: u32,
    /// Thousandths of runs that are stragglers.
    pub straggler_permille: u32,
    /// How many times longer a straggler runs.
    pub straggler_factor: u32,
    /// What one run really uses; its slots and connections are not looked at.
    pub usage: Bundle,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            kind: "default".into(),
            median: Duration::from_millis(10),
            sigma_milli: 250,
            straggler_permille: 0,
            straggler_factor: 1,
            usage: Bundle { millicores: 1_000, memory_mib: 64, ..Bundle::default() },
        }
    }
}

/// How much one kind slows another down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// The kind that is slowed down.
    pub victim: Name,
    /// The kind that slows it down.
    pub neighbor: Name,
    /// Added run time for each neighbor at full speed, in thousandths.
    pub slowdown_milli: u32,
}

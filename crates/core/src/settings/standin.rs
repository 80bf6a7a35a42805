//! Settings of the stand-ins for platform components.

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

/// The settings of the stand-ins; a process may run any combination of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The listen address of the store, if it runs in this process.
    pub store_listen: Option<SocketAddr>,
    /// The listen address of the worker's control interface, if the worker runs in this process.
    pub control_listen: Option<SocketAddr>,
    /// The listen address of the target, if the worker runs in this process.
    pub target_listen: Option<SocketAddr>,
    /// The listen address of the worker's interface for graph tasks, if it serves that interface.
    pub runs_listen: Option<SocketAddr>,
    /// The name of the worker.
    pub worker: Name,
    /// Whether events of graph tasks are printed, one JSON line per event.
    pub print_facts: bool,
    /// The service whose graph tasks the worker runs.
    pub service: Name,
    /// The labels of the worker: its kind, then its rack.
    pub labels: Vec<Name>,
    /// The capacity of the worker.
    pub capacity: Bundle,
    /// The kinds of work that the target serves.
    pub kinds: Vec<Name>,
    /// The behavior of kinds; a kind without a profile uses [`Profile::default`].
    pub profiles: Vec<Profile>,
    /// The slowdown between pairs of kinds; pairs that are not listed do not affect each other.
    pub disturbances: Vec<Disturbance>,
    /// Interval between usage samples of a task.
    pub usage_period: Duration,
    /// Delay between the time that a usage sample describes and its report.
    pub report_lag: Duration,
    /// Time after which a target that is shutting down counts a start as a violation.
    pub leaving_grace: Duration,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain: Duration,
    /// Whether every task fails immediately after its start.
    pub fails_tasks: bool,
    /// The log filter: a default level, then `target=level` rules.
    pub log: Name,
    /// Limits on HTTP connections.
    pub limits: Limits,
    /// The seed of the random service times.
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
    key!("standin", store_listen: Optional<Address>, "Listen address of the store; empty to disable the store."),
    key!("standin", control_listen: Optional<Address>, "Listen address of the worker's control interface; empty to disable it."),
    key!("standin", target_listen: Optional<Address>, "Listen address of the target; empty to disable the target."),
    key!("standin", runs_listen: Optional<Address>, "Listen address of the worker's interface for graph tasks; empty to disable it."),
    key!("standin", worker: Label, "Name of the worker."),
    key!("standin", print_facts: Flag, "Whether events of graph tasks are printed, one JSON line per event."),
    key!("standin", service: Label, "Service whose graph tasks the worker runs."),
    key!("standin", labels: List<Label>, "Labels of the worker: its kind, then its rack."),
    key!("standin", kinds: List<Label>, "Kinds of work that the target serves."),
    key!("standin", usage_period: Span, "Interval between usage samples of a task.", ms(1)..=s(3600)),
    key!("standin", report_lag: Span, "Delay between the time that a usage sample describes and its report.", ms(0)..=s(3600)),
    key!("standin", leaving_grace: Span, "Time after which a target that is shutting down counts a start as a violation.", ms(0)..=s(3600)),
    key!("standin", drain: Span, "How long a graceful shutdown waits for requests in flight.", ms(0)..=s(3600)),
    key!("standin", log: Filter, "Log filter: a default level, then `target=level` rules."),
    key!("standin", seed: Count<u64>, "Seed of the random service times."),
    key!("capacity", capacity.slots: Count<u32>, "Number of slots for running tasks."),
    key!("capacity", capacity.connections: Count<u32>, "Number of open connections."),
    key!("capacity", capacity.millicores: Count<u32>, "Processor time in thousandths of a core."),
    key!("capacity", capacity.memory_mib: Count<u32>, "Memory in mebibytes."),
    key!("capacity", capacity.accelerators: Count<u32>, "Number of whole accelerators."),
];

impl Settings {
    /// The table of keys.
    pub const TABLE: Table<Self> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };

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
}

/// The behavior of one kind of work in isolation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// The kind of work.
    pub kind: Name,
    /// The median run time; a `run_ms` in the payload of a task overrides it.
    pub median: Duration,
    /// Sigma of the log-normal run time: the standard deviation of its natural logarithm, in
    /// thousandths.
    pub sigma_milli: u32,
    /// Fraction of runs that are stragglers, in thousandths.
    pub straggler_permille: u32,
    /// Factor by which a straggler takes longer.
    pub straggler_factor: u32,
    /// The actual resource usage of one run; its slots and connections are ignored.
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

/// The slowdown that one kind causes to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// The kind that is slowed down.
    pub victim: Name,
    /// The kind that causes the slowdown.
    pub neighbor: Name,
    /// Increase in run time for each neighbor at full speed, in thousandths.
    pub slowdown_milli: u32,
}

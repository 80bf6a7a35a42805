//! Settings of the stand-ins of the platform.

use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
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
    /// The worker's name.
    pub worker: Name,
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
            worker: "worker-1".into(),
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
            seed: 1,
        }
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

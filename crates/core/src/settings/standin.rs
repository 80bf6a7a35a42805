//! Settings of the stand-ins of the platform.

use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

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
            seed: 1,
        }
    }
}

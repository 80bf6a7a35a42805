//! Settings of an agent.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
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
    /// How many entries it reports to at most.
    pub report_to: usize,
    /// How long a graceful stop may take.
    pub drain: Duration,
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
            report_to: 3,
            drain: Duration::from_secs(30),
            seed: 1,
        }
    }
}

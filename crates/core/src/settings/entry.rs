//! Settings of an entry.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
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
    /// The deadline of a quick request that names none.
    pub default_deadline: Duration,
    /// The farthest deadline that a request may name.
    pub longest_deadline: Duration,
    /// How long a graceful stop may take.
    pub drain: Duration,
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
            operators_listen: any_port,
            store: Vec::new(),
            ledgers: 8,
            owner_lease: Duration::from_secs(5),
            task_lease: Duration::from_secs(5),
            beat: Duration::from_millis(500),
            default_deadline: Duration::from_secs(2),
            longest_deadline: Duration::from_secs(600),
            drain: Duration::from_secs(30),
            seed: 1,
        }
    }
}

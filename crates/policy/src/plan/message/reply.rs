use super::{Disturbance, Order, RunTraits};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The owner's answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The owner; a lower one than the agent knows is not obeyed.
    pub epoch: u64,
    /// Whether the answering entry owns the table. If not, `owner` says who does.
    pub owned: bool,
    /// Where the owner takes reports, as far as the entry knows.
    pub owner: Option<SocketAddr>,
    /// The report that is answered; the agent may renew leases from when it sent it.
    pub sequence: u64,
    /// Orders that the agent has not received yet.
    pub orders: Vec<Order>,
    /// Ends up to this number are recorded; the worker may forget them.
    pub recorded: u64,
    /// The life of the worker that `recorded` counts the ends of: when it began, milliseconds since
    /// 1970. A later life counts anew.
    #[serde(rename = "born_ms")]
    pub worker_started_ms: u64,
    /// How the images at the worker disturb each other, when the report listed what runs.
    #[serde(rename = "harm")]
    pub disturbances: Vec<Disturbance>,
    /// What the agent's runs are, when its report asked.
    #[serde(rename = "features")]
    pub run_traits: Vec<RunTraits>,
    /// Where the entries take reports.
    pub entries: Vec<SocketAddr>,
}

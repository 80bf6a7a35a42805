use super::{Disturbance, Order, RunTraits};
use crate::plan::Lease;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

fn is_first(generation: &u64) -> bool {
    *generation == 0
}

/// The owner's answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Epoch of the owner; an agent ignores epochs below the highest it knows.
    pub epoch: u64,
    /// Whether the answering entry owns the table. If not, `owner` names the entry that does.
    pub owned: bool,
    /// Address to which reports for the owner go, if the entry knows it.
    pub owner: Option<SocketAddr>,
    /// Number of the answered report; the agent may renew leases from the time it sent the report.
    /// 0 if the agent has not listed the runs yet, or if the owner may have a successor, which counts on
    /// the end of the present leases: the agent then renews none, and repeats in its next report what this
    /// one contained.
    pub sequence: u64,
    /// Orders that the agent has not received yet.
    pub orders: Vec<Order>,
    /// Ends up to this number are recorded; the worker may discard them.
    pub recorded: u64,
    /// Start time of the worker incarnation that `recorded` refers to, milliseconds since 1970. Each
    /// incarnation counts its ends from 1.
    #[serde(rename = "born_ms")]
    pub worker_started_ms: u64,
    /// Learned disturbances between the images at the worker, if the report listed the runs.
    #[serde(rename = "harm")]
    pub disturbances: Vec<Disturbance>,
    /// Traits of the agent's runs, if its report asked for them.
    #[serde(rename = "features")]
    pub run_traits: Vec<RunTraits>,
    /// Addresses at which the entries accept reports.
    pub entries: Vec<SocketAddr>,
    /// Whether the worker's failure domain is evacuated, so that the agent refuses starts.
    #[serde(default)]
    pub evacuated: bool,
    /// Number of the change that `evacuated` includes; replies may arrive out of order.
    #[serde(default)]
    pub evacuation_version: u64,
    /// Start of a worker incarnation whose crash is recorded, with all that the agent reports before it,
    /// in milliseconds since 1970; the agent need not report these again. 0 if there is none.
    #[serde(default)]
    pub crashes_recorded_ms: u64,
    /// The longest lease that the agent may renew, counted from when it sent the answered report.
    #[serde(default, rename = "lease_ms")]
    pub lease: Lease,
    /// Generation of the worker's present incarnation, as far as the owner knows it; see
    /// [`Fence`](crate::plan::Fence). The last field, left out while it is 0: messages are encoded by position, and
    /// the former version does not have it.
    #[serde(default, skip_serializing_if = "is_first")]
    pub generation: u64,
}

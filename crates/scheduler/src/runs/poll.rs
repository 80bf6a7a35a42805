use crate::agent::Lists;
use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Renews the lease of all active runs, confirms ends and reads the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The expected incarnation of the worker, if it is known; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Option<Incarnation>,
    /// The end of the lease, in milliseconds on the worker's clock; `None` leaves the lease as it
    /// is.
    pub lease_ms: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub recorded: u64,
    /// The owner's epoch.
    pub epoch: u64,
    /// Longest time that the answer waits for a run to end, in milliseconds.
    pub wait_ms: u64,
}

impl Call for Poll {
    const PATH: &'static str = "/runs/look";
    type Reply = Lists;
}

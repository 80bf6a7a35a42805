use crate::agent::Lists;
use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Renews the lease of everything that runs, confirms ends and reads the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The life of the worker that is meant, if it is known; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Option<Incarnation>,
    /// The end of the lease, milliseconds on the worker's clock; nothing to leave it as it is.
    pub lease_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub recorded: u64,
    /// The owner's number.
    pub epoch: u64,
    /// How long the answer waits for an end, milliseconds.
    pub wait_ms: u64,
}

impl Call for Poll {
    const PATH: &'static str = "/runs/look";
    type Reply = Lists;
}

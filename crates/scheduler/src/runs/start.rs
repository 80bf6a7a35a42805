use super::Clock;
use crate::agent;
use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Starts a run; the call is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The expected incarnation of the worker; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The parameters of the run.
    pub start: agent::Start,
}

impl Call for Start {
    const PATH: &'static str = "/runs/start";
    type Reply = Clock;
}

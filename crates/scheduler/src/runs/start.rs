use super::Clock;
use crate::agent;
use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Starts a run; a run that is there already is no error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The life of the worker that is meant; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The run.
    pub start: agent::Start,
}

impl Call for Start {
    const PATH: &'static str = "/runs/start";
    type Reply = Clock;
}

use super::{Additions, Answer, End, Incarnation, Profile, Run};
use serde::{Deserialize, Serialize};
use shallotflow_core::list::Whole;
use shallotflow_core::name::Name;

/// A report of an agent to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: Name,
    /// Number of the agent's process; each process has another one.
    pub process: u64,
    /// Epoch of the owner that the report is meant for.
    pub epoch: u64,
    /// Number of the report, counted from 1 for each process and owner.
    pub sequence: u64,
    /// Worker incarnation that `running` and `ends` refer to; known before the worker registers.
    #[serde(rename = "lifetime")]
    pub incarnation: Option<Incarnation>,
    /// Profile of the worker, once it has registered.
    pub worker: Option<Profile>,
    /// Whether the agent has no worker, so that nothing runs there.
    pub vacant: bool,
    /// Whether the agent has read the worker's lists for this owner, so that the worker refuses older ones.
    pub complete: bool,
    /// All active runs at the worker, once all its ends are reported; omitted while there is no relevant
    /// change, and while the agent cannot tell which runs have ended.
    pub running: Option<Whole<Run>>,
    /// Whether the agent lacks the traits of a listed run.
    #[serde(rename = "lacks_features")]
    pub lacks_traits: bool,
    /// Ends that no reply has confirmed.
    pub ends: Vec<End>,
    /// Answers that no reply has confirmed.
    pub answers: Vec<Answer>,
    /// Highest order number that was received.
    pub received: u64,
    /// Fields that the former version does not have.
    #[serde(default, skip_serializing_if = "Additions::is_default")]
    pub additions: Additions,
}

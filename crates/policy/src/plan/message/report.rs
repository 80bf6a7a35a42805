use super::{Answer, End, Incarnation, Profile, Run};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// What an agent tells the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: Name,
    /// The process of the agent; a new process has another number.
    pub process: u64,
    /// The owner that it is meant for.
    pub epoch: u64,
    /// Counts the reports of the process to one owner, from 1.
    pub sequence: u64,
    /// Which life of the worker `running` and `ends` are of; known before the worker registers.
    #[serde(rename = "lifetime")]
    pub incarnation: Option<Incarnation>,
    /// The worker, once it has registered.
    pub worker: Option<Profile>,
    /// Whether no worker runs beside the agent, so that nothing runs there.
    pub vacant: bool,
    /// Whether `running` and `ends` are complete and the worker refuses older owners.
    pub complete: bool,
    /// What runs at the worker; left out when nothing in it changed that matters.
    pub running: Option<Vec<Run>>,
    /// Whether it lists runs of which the agent knows nothing more.
    #[serde(rename = "lacks_features")]
    pub lacks_traits: bool,
    /// Ends that no reply has confirmed.
    pub ends: Vec<End>,
    /// Answers that no reply has confirmed.
    pub answers: Vec<Answer>,
    /// The highest number of an order that was received.
    pub received: u64,
}

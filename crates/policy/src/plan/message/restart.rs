use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;

/// What an agent says beside the restart, the loss or the silence of its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Restart {
    /// Runs, as task and number, whose starts may still be carried out: a call without an answer reaches
    /// whichever incarnation the worker has by then.
    pub open_starts: Vec<(Task, u32)>,
    /// Whether the two numbers below hold: the worker has restarted, or a reply has named a generation. The
    /// former version never says so.
    pub has_generations: bool,
    /// The latest generation of the worker that the agent knows.
    pub generation: u64,
    /// The generation under which the lists were read: the worker refuses all calls from before.
    pub listed: u64,
}

impl Restart {
    /// Returns whether all fields have their defaults.
    pub(super) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

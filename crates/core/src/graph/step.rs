use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};

/// Tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What one task needs.
    pub need: Bundle,
    /// A rough estimate of a task's run time, milliseconds; 0 when it is not known.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress and can go on from it.
    pub checkpointing: bool,
    /// Whether the tasks work only while all of them are present.
    pub gang: bool,
    /// Whether the tasks are slower when they run in more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(rename = "requires")]
    pub required_label: Option<Name>,
    /// The rack where the tasks find their data.
    #[serde(rename = "near")]
    pub data_rack: Option<Name>,
    /// Most tasks of the step on one worker, 0 for no bound.
    pub per_worker: u32,
    /// Whether several runs of one task may go on at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled and are restarted however they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Bound of a serving task's tail latency, milliseconds; 0 for tasks that serve nobody.
    pub target_ms: u32,
    /// Whether the tasks use only the processors that others leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks of a lasting step that orders may keep from work at the same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};

/// A group of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// The resources that one task requests.
    pub need: Bundle,
    /// Estimated run time of a task, milliseconds; 0 if unknown.
    pub estimate_ms: u64,
    /// Indexes of the earlier steps that must complete first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints and can resume from them.
    pub checkpointing: bool,
    /// Whether the tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower if they are spread over several racks.
    pub same_rack: bool,
    /// The label that a worker must have to run the tasks.
    #[serde(rename = "requires")]
    pub required_label: Option<Name>,
    /// The rack that holds the input data of the tasks.
    #[serde(rename = "near")]
    pub data_rack: Option<Name>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether several runs of one task may be in progress at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled; they are restarted whenever they exit.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of the same image are expected to behave alike.
    pub image: Option<Name>,
    /// Tail latency target of a serving task, milliseconds; 0 for tasks that serve no requests.
    pub target_ms: u32,
    /// Whether the tasks are best-effort: they use only processor time that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that commands may make unavailable at the
    /// same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

use shallotflow_core::graph::Task;

/// What is known of a run that the crash of its worker has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Loss {
    /// The task.
    pub(super) task: Task,
    /// Run number.
    pub(super) run: u32,
    /// Whether the worker has carried out the start, as far as known.
    pub(super) carried_out: bool,
    /// Whether the worker was last known to be alive before the run had outlived its start.
    pub(super) young: bool,
    /// Age of the run, in milliseconds.
    pub(super) age_ms: u64,
    /// Whether the run cannot have ended before the crash.
    pub(super) certain: bool,
    /// Whether nothing else could have crashed the worker.
    pub(super) alone: bool,
    /// Whether it was the last start before the crash.
    pub(super) latest: bool,
}

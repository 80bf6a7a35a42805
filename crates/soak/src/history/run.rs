use shallotflow_standin::runs::Transition;

/// One run of a task at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the worker.
    pub worker: usize,
    /// Run number.
    pub number: u32,
    /// Start time, in microseconds since the Unix epoch.
    pub started: u64,
    /// End time and transition, once known; no transition if the run ended with its worker.
    pub ended: Option<(u64, Option<Transition>)>,
    /// Whether the agent confirmed the end to the worker.
    pub confirmed: bool,
}

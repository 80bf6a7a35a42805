use shallotflow_standin::runs::Transition;

/// One run of a task at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The worker.
    pub worker: usize,
    /// The number of the run.
    pub number: u32,
    /// When it started, microseconds since 1970.
    pub started: u64,
    /// When and how it ended, once that is known; without a way for one that ended with its worker.
    pub ended: Option<(u64, Option<Transition>)>,
    /// Whether its end was confirmed.
    pub confirmed: bool,
}

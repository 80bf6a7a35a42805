use std::time::Duration;

/// The limits of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest lease that the worker grants; from the worker's own settings.
    pub lease: Duration,
    /// How long a look waits for an end while something runs; the worker's figures change as often.
    pub look_wait: Duration,
    /// How long a look waits for an end while nothing runs.
    pub idle_wait: Duration,
    /// Limit of a call to the worker beside what it waits for; some hundred times its usual time.
    pub call_limit: Duration,
    /// Limit of a start; an answer usually takes a few milliseconds, and a start can be repeated.
    pub start_limit: Duration,
    /// Pause after a look that failed.
    pub look_pause: Duration,
    /// Looks that fail in a row before the worker counts as silent.
    pub silent_looks: u32,
    /// How often a start is tried before it is withdrawn.
    pub start_tries: u32,
    /// Limit of a report; the owner holds its reply back for less than half of it.
    pub report_limit: Duration,
    /// Pause before the next entry is tried.
    pub report_pause: Duration,
    /// How often the whole list of runs is reported, for checkpoints and figures.
    pub list_interval: Duration,
    /// The share of a lease by which a worker's clock may be slow, percent.
    pub drift_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(6_000),
            look_wait: Duration::from_millis(400),
            idle_wait: Duration::from_millis(1_500),
            call_limit: Duration::from_millis(350),
            start_limit: Duration::from_millis(120),
            look_pause: Duration::from_millis(100),
            silent_looks: 3,
            start_tries: 4,
            report_limit: Duration::from_millis(900),
            report_pause: Duration::from_millis(60),
            list_interval: Duration::from_millis(450),
            drift_percent: 2,
        }
    }
}

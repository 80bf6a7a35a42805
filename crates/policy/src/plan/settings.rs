use std::time::Duration;

/// Limits and weights of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Longest time from a report until its agent's worker is surely empty, unless renewed; the
    /// longest lease of a worker, with its clock's drift and a margin.
    pub lease: Duration,
    /// An agent that was not heard for this long gets no new tasks; three reports.
    pub report_timeout: Duration,
    /// A start that is not answered for this long is withdrawn; some hundred round trips.
    pub answer_timeout: Duration,
    /// Longest time that a change of a job waits to be recorded along with others.
    pub record_delay: Duration,
    /// Longest time that it waits to be recorded that a job has begun; a third of the users' bound
    /// for what callers are shown. Most quick jobs have an end to record by then.
    pub started_delay: Duration,
    /// First pause before a task that did not start or failed is tried again; doubles each time.
    pub retry_pause: Duration,
    /// Longest pause before a task is tried again.
    pub max_retry_pause: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// The share of its processors that a serving task is expected to use; its load swings
    /// around a bit less than this.
    pub serving_use: f64,
    /// Processors that may be promised to tasks that fill, as a share of a worker's.
    pub best_effort_limit: f64,
    /// How long a task that fills waits for a worker where it does no harm; about the objective of
    /// such a job, beyond which it earns little.
    pub disturbance_wait: Duration,
    /// Slowdown of a task whose data is in another rack.
    pub spread_factor: f64,
    /// Failed runs in a row after which a worker is set aside.
    pub ejection_failures: u32,
    /// How long a worker is set aside first; doubles each time.
    pub ejection: Duration,
    /// How long a task may make no progress before its run is given up.
    pub stall_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(6_400),
            report_timeout: Duration::from_millis(1_300),
            answer_timeout: Duration::from_millis(700),
            record_delay: Duration::from_millis(400),
            started_delay: Duration::from_millis(1_000),
            retry_pause: Duration::from_millis(50),
            max_retry_pause: Duration::from_millis(2_000),
            retention: Duration::from_secs(150),
            serving_use: 0.55,
            best_effort_limit: 1.0,
            disturbance_wait: Duration::from_millis(6_000),
            spread_factor: 1.5,
            ejection_failures: 3,
            ejection: Duration::from_secs(4),
            stall_timeout: Duration::from_millis(2_500),
        }
    }
}

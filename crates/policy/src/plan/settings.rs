use std::time::Duration;

/// Limits and weights of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Longest time from a report until its agent's worker is surely empty, unless renewed; the
    /// longest lease of a worker, with its clock's drift and a margin.
    pub lease: Duration,
    /// An agent that was not heard for this long gets no new tasks; three reports.
    pub quiet: Duration,
    /// A start that is not answered for this long is withdrawn; some hundred round trips.
    pub unanswered: Duration,
    /// Longest time that a change of a job waits to be recorded along with others.
    pub record_delay: Duration,
    /// Longest time that it waits to be recorded that a job has begun; a third of the users' bound
    /// for what callers are shown. Most quick jobs have an end to record by then.
    pub begun_delay: Duration,
    /// First pause before a task that did not start or failed is tried again; doubles each time.
    pub pause: Duration,
    /// Longest pause before a task is tried again.
    pub longest_pause: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// The share of its processors that a serving task is expected to use; its load swings
    /// around a bit less than this.
    pub serving_use: f64,
    /// Processors that may be promised to tasks that fill, as a share of a worker's.
    pub fill_limit: f64,
    /// How long a task that fills waits for a worker where it does no harm; about the objective of
    /// such a job, beyond which it earns little.
    pub harm_wait: Duration,
    /// Slowdown of a task whose data is in another rack.
    pub spread_factor: f64,
    /// Failed runs in a row after which a worker is set aside.
    pub failures: u32,
    /// How long a worker is set aside first; doubles each time.
    pub aside: Duration,
    /// How long a task may make no progress before its run is given up.
    pub stall: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(6_400),
            quiet: Duration::from_millis(1_300),
            unanswered: Duration::from_millis(700),
            record_delay: Duration::from_millis(400),
            begun_delay: Duration::from_millis(1_000),
            pause: Duration::from_millis(50),
            longest_pause: Duration::from_millis(2_000),
            retention: Duration::from_secs(150),
            serving_use: 0.55,
            fill_limit: 1.0,
            harm_wait: Duration::from_millis(6_000),
            spread_factor: 1.5,
            failures: 3,
            aside: Duration::from_secs(4),
            stall: Duration::from_millis(2_500),
        }
    }
}

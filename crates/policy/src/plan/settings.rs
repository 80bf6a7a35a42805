use super::Lease;
use std::time::Duration;

/// Limits and weights of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The longest lease that the owner lets agents renew.
    pub lease: Lease,
    /// How long after a claim a predecessor may still take itself for the owner and renew leases: the
    /// duration of its presence, less the margin in [`Lease::wait`].
    pub succession_slack: Duration,
    /// An agent that has not reported for this long gets no new tasks; three report intervals.
    pub report_timeout: Duration,
    /// A start that is not answered within this time is withdrawn; some hundred round trips.
    pub answer_timeout: Duration,
    /// Longest time that a change of a job waits to be recorded together with others.
    pub record_delay: Duration,
    /// Longest delay before the start of a job is recorded: a third of the limit that users set for
    /// the age of the state that callers see. Most short jobs have ended by then, so that the start
    /// needs no write of its own.
    pub started_delay: Duration,
    /// First pause before a task that failed or did not start is retried; doubles each time.
    pub retry_pause: Duration,
    /// Longest pause before a task is retried, and of a worker that refuses starts.
    pub max_retry_pause: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// Share of its requested processors that a serving task is expected to use; its load swings
    /// around a slightly lower value.
    pub serving_use: f64,
    /// Highest expected processor use with which a best-effort task is placed, as a share of the
    /// worker's processors.
    pub best_effort_limit: f64,
    /// How long a best-effort task waits for a worker where it disturbs no serving task. A task
    /// that disturbs others is slowed down until their targets are met, so an early start gains nothing.
    pub disturbance_wait: Duration,
    /// How long nothing of a job may run before one of its tasks starts whatever else runs, if callers count
    /// room for it: the 3 s after which users miss the job, less twice `starvation_interval`, a
    /// start without an answer and one with it.
    pub idle_wait: Duration,
    /// Interval at which the jobs that starve are looked for; it delays them twice, as their wait is noticed
    /// and acted on.
    pub starvation_interval: Duration,
    /// Amount that a best-effort image adds to the tail latency of serving tasks, as a share of their
    /// target if it uses a whole worker, from which on it counts as interfering strongly.
    pub strong_interference: f64,
    /// Share of a worker's processors by which a worker without serving tasks is avoided by
    /// best-effort tasks that do not interfere.
    pub vacant_worker_cost: f64,
    /// Slowdown factor of a task whose data is in another rack.
    pub spread_factor: f64,
    /// Number of jobs with failed runs, without a completed run in between, after which a worker is
    /// ejected.
    pub ejection_failures: u32,
    /// Length of the first ejection of a worker; doubles each time.
    pub ejection: Duration,
    /// A run that its agent slows down to less than this, in percent, may go on at another worker.
    pub slow_pace: u8,
    /// Time from the end of a stopped run until the next one has restored its checkpoint.
    pub restart_time: Duration,
    /// How long a run is slowed down before it is stopped to go on at another worker.
    pub relocation_delay: Duration,
    /// Interval at which waiting tasks are tried again at workers that time alone may have freed:
    /// paused, ejected or silent ones, or ones where a task would have disturbed others.
    pub search_interval: Duration,
    /// A worker that shows a run this long after its start was not crashed by it; some times the age
    /// of a list when it arrives.
    pub crash_window: Duration,
    /// How long a task that may have crashed its worker waits for a worker where it can start alone.
    pub trial_wait: Duration,
    /// How long a run may make no progress before it is stopped.
    pub stall_timeout: Duration,
    /// Whether expected durations are learned from the ends of runs instead of taken from the
    /// estimates alone.
    pub learns_durations: bool,
    /// Number of latest completed runs, by queue and image, from which their durations are learned:
    /// some jobs, so that a changed input shows within seconds.
    pub duration_memory: f64,
    /// Number of completed runs whose weight equals that of the estimate of the job itself; the
    /// tasks of one step end together and say little more than one of them.
    pub estimate_weight: f64,
    /// Whether best-effort jobs of queues with an objective are ordered by their remaining work, the
    /// least first.
    pub orders_by_work: bool,
    /// Whether begun jobs among these come before all others; if not, a small job begins before a
    /// large one ends.
    pub begun_first: bool,
    /// Exponent of the size of a job by which its remaining work is divided in the order: 0 orders by
    /// the work that remains, 1 by its share of the job, so that large jobs wait no longer.
    pub size_bias: f64,
    /// Whether best-effort jobs of queues with an objective begin only when they are expected to end
    /// within it, or when capacity is idle.
    pub opens_jobs: bool,
    /// Factor of the expected time of the work that precedes a job when it is decided whether the job
    /// begins; above 1 leaves a margin.
    pub opening_margin: f64,
    /// Interval at which the rate of useful work is measured; some reports of each worker.
    pub rate_interval: Duration,
    /// How long tasks have to wait before the rate is measured: about the duration of a task, since
    /// what ends before then was started while less ran.
    pub rate_delay: Duration,
    /// Time over which the rate of useful work is averaged; a few durations of tasks, so that steps
    /// that end together do not count as a higher rate.
    pub rate_memory: Duration,
    /// Whether a best-effort task of a job with an objective may start where it interferes with
    /// serving tasks only if the job would miss its objective otherwise.
    pub interferes_by_objective: bool,
    /// How long before the latest start that still meets the objective a task may interfere with
    /// serving tasks; covers the error of the expected durations.
    pub interference_margin: Duration,
    /// Whether jobs that cannot end within three objectives are refused.
    pub refuses_jobs: bool,
    /// How long an advertised backlog is valid: five polls of the owner's status.
    pub advertisement_valid: Duration,
    /// Longest delay after which the caller of a refused job is told to return: beyond it, the
    /// expected backlog says little.
    pub max_refusal_delay: Duration,
    /// How much before its time the caller of a refused job may return: clocks and timers differ.
    pub early_return: Duration,
    /// How long after its time the place of a refused job is kept for its caller.
    pub promise_grace: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Lease::default(),
            succession_slack: Duration::from_millis(800),
            report_timeout: Duration::from_millis(1_300),
            answer_timeout: Duration::from_millis(700),
            record_delay: Duration::from_millis(400),
            started_delay: Duration::from_millis(1_000),
            retry_pause: Duration::from_millis(50),
            max_retry_pause: Duration::from_millis(2_000),
            retention: Duration::from_secs(150),
            serving_use: 0.55,
            best_effort_limit: 1.0,
            disturbance_wait: Duration::from_millis(20_000),
            idle_wait: Duration::from_millis(1_500),
            starvation_interval: Duration::from_millis(200),
            strong_interference: 0.2,
            vacant_worker_cost: 0.5,
            spread_factor: 1.5,
            ejection_failures: 3,
            ejection: Duration::from_secs(4),
            slow_pace: 50,
            restart_time: Duration::from_millis(700),
            relocation_delay: Duration::from_millis(1_500),
            search_interval: Duration::from_millis(25),
            crash_window: Duration::from_millis(800),
            trial_wait: Duration::from_millis(1_000),
            stall_timeout: Duration::from_millis(2_500),
            learns_durations: false,
            duration_memory: 400.0,
            estimate_weight: 10.0,
            orders_by_work: true,
            begun_first: false,
            size_bias: 1.0,
            opens_jobs: false,
            opening_margin: 2.0,
            rate_interval: Duration::from_millis(500),
            rate_delay: Duration::from_millis(3_000),
            rate_memory: Duration::from_millis(8_000),
            interferes_by_objective: false,
            interference_margin: Duration::from_millis(1_000),
            refuses_jobs: false,
            advertisement_valid: Duration::from_millis(2_000),
            max_refusal_delay: Duration::from_secs(60),
            early_return: Duration::from_millis(200),
            promise_grace: Duration::from_millis(5_000),
        }
    }
}

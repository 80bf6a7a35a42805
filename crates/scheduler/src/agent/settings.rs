use shallotflow_policy::plan::Lease;
use std::time::Duration;

/// The limits of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest lease that the worker grants; taken from the worker's own settings. The agent renews no
    /// longer ones than the owner lets it.
    pub lease: Lease,
    /// How long a poll waits for a run to end while any run is active; the worker's measurements
    /// change as often.
    pub poll_wait: Duration,
    /// How long a poll waits while no run is active.
    pub idle_wait: Duration,
    /// Timeout of a call to the worker, in addition to the time that the call waits; some hundred
    /// times the usual duration.
    pub call_limit: Duration,
    /// Timeout of a start; an answer usually takes a few milliseconds, and a start can be repeated.
    pub start_limit: Duration,
    /// How long after a call without an answer the worker may still carry it out; the platform
    /// speaks of seconds.
    pub late_call: Duration,
    /// How long the task of a start without an answer waits for a worker that is gone, since the next
    /// incarnation may carry the start out. Callers expect every job to have a run again within seconds.
    pub open_start: Duration,
    /// Pause after a failed poll.
    pub poll_pause: Duration,
    /// Pause after a poll that the worker answered at once without news; the end of a run is noticed
    /// at most this much later.
    pub relist_pause: Duration,
    /// Consecutive failed polls before the worker counts as silent.
    pub silent_polls: u32,
    /// How long rows of the worker's lists that cannot be read may hide what became of a run, before the
    /// worker's leases are left to end; a later list may be readable.
    pub gap_limit: Duration,
    /// Attempts of a start before it is withdrawn.
    pub start_tries: u32,
    /// Timeout of a report; the owner delays its reply by less than half of it.
    pub report_limit: Duration,
    /// Pause before the next entry is tried.
    pub report_pause: Duration,
    /// Interval at which the complete list of runs is reported, for checkpoints and measurements.
    pub list_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Lease::default(),
            poll_wait: Duration::from_millis(400),
            idle_wait: Duration::from_millis(1_500),
            call_limit: Duration::from_millis(350),
            start_limit: Duration::from_millis(120),
            late_call: Duration::from_secs(30),
            open_start: Duration::from_secs(5),
            poll_pause: Duration::from_millis(100),
            relist_pause: Duration::from_millis(12),
            silent_polls: 3,
            gap_limit: Duration::from_secs(6),
            start_tries: 4,
            report_limit: Duration::from_millis(900),
            report_pause: Duration::from_millis(60),
            list_interval: Duration::from_millis(450),
        }
    }
}

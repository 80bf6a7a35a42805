//! The metrics that the processes export: names, labels, units and descriptions.

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only increases while the process runs.
    Counter,
    /// Increases and decreases.
    Gauge,
    /// Counts observations in buckets.
    Histogram,
}

impl Kind {
    /// The name used in the Prometheus text format.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The definition of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// The name, including the unit.
    pub name: &'static str,
    /// The type.
    pub kind: Kind,
    /// The labels, separated by commas.
    pub labels: &'static str,
    /// The description shown on the reference page and in the exposition.
    pub description: &'static str,
}

macro_rules! metrics {
    ($($constant:ident = $name:literal, $kind:ident, $labels:literal, $description:literal;)+) => {
        $(
            #[doc = $description]
            pub const $constant: &str = $name;
        )+

        /// Every metric, in the order of the reference page.
        pub const ALL: &[Metric] = &[
            $(Metric { name: $name, kind: Kind::$kind, labels: $labels, description: $description },)+
        ];
    };
}

metrics! {
    QUICK_LATENCY = "shallotflow_quick_latency_seconds", Histogram, "kind",
        "Time from the arrival of a quick request at an entry to the end of its response.";
    REQUESTS = "shallotflow_requests_total", Counter, "class, outcome",
        "Requests answered, by outcome.";
    REFUSALS = "shallotflow_refusals_total", Counter, "reason",
        "Requests refused, by problem code.";
    RETRIES = "shallotflow_retries_total", Counter, "",
        "Requests retried at another target.";
    RETRY_BUDGET = "shallotflow_retry_budget", Gauge, "",
        "Retries that the retry budget currently allows.";
    HEAD_OF_LINE_WAIT = "shallotflow_head_of_line_wait_seconds", Histogram, "class",
        "Time that work waited at an agent while longer-running work occupied the slots.";
    BATCH_STARTED = "shallotflow_batch_started_total", Counter, "",
        "Batch tasks started.";
    BATCH_ENDED = "shallotflow_batch_ended_total", Counter, "state",
        "Batch jobs that reached a final state; its rate is the batch throughput.";
    BATCH_BACKLOG = "shallotflow_batch_backlog", Gauge, "",
        "Batch jobs waiting to start in the ledgers that the entry owns.";
    EVICTIONS = "shallotflow_evictions_total", Counter, "",
        "Batch tasks checkpointed and stopped to free capacity for quick work.";
    THROTTLES = "shallotflow_throttles_total", Counter, "",
        "Throttling steps applied to batch tasks.";
    TARGETS = "shallotflow_targets", Gauge, "state",
        "Targets known to an entry, by state.";
    EJECTIONS = "shallotflow_ejections_total", Counter, "cause",
        "Targets ejected because of failures or high latency, by cause.";
    WATCHERS = "shallotflow_watchers", Gauge, "",
        "Watchers connected to an entry.";
    RELAYED = "shallotflow_relayed_total", Counter, "",
        "Requests forwarded to another entry because their kind is unknown to this one.";
    REPORTS = "shallotflow_reports_total", Counter, "",
        "Reports received by an entry or sent by an agent.";
    CONFIG_REVISION = "shallotflow_config_revision", Gauge, "",
        "Revision of the fleet configuration in force.";
    STORE_CALLS = "shallotflow_store_calls_total", Counter, "call, result",
        "Calls to the store, by call and result.";
    HTTP_EVICTIONS = "shallotflow_http_evictions_total", Counter, "limit",
        "Connections that were closed before their requests had arrived whole, by the limit that was reached.";
    GRAPH_SUBMISSIONS = "shallotflow_graph_submissions_total", Counter, "outcome",
        "Graph jobs submitted to an entry, by outcome.";
    GRAPH_SUBMIT = "shallotflow_graph_submit_seconds", Histogram, "",
        "Time until the submission of a graph was answered.";
    GRAPH_STARTS = "shallotflow_graph_starts_total", Counter, "",
        "Runs that an owner ordered to start.";
    GRAPH_START_WAIT = "shallotflow_graph_start_wait_seconds", Histogram, "",
        "Time from when a task became ready until its start was ordered.";
    GRAPH_LOCALITY_WAITS = "shallotflow_graph_locality_waits_seconds", Histogram, "",
        "Time that a task waited for a slot in its rack although it could start elsewhere.";
    GRAPH_NEAR_STARTS = "shallotflow_graph_near_starts_total", Counter, "",
        "Starts in the rack of the task's data and of the other tasks of its step.";
    GRAPH_FAR_STARTS = "shallotflow_graph_far_starts_total", Counter, "",
        "Starts outside the rack of the task's data or of the other tasks of its step.";
    GRAPH_WAITING_TASKS = "shallotflow_graph_waiting_tasks", Gauge, "reason",
        "Tasks of open steps that do not run, by the rule that holds them, at their owner.";
    GRAPH_LONGEST_WAIT = "shallotflow_graph_longest_wait_seconds", Gauge, "reason",
        "Longest time for which one of these tasks could have been running, by reason.";
    GRAPH_REMNANTS = "shallotflow_graph_remnant_runs", Gauge, "",
        "Runs that occupy workers until their end is listed, although they are the current run of no task.";
    GRAPH_ENDS = "shallotflow_graph_ends_total", Counter, "how",
        "Runs that ended, by exit reason, as reported to their owner.";
    GRAPH_JOBS = "shallotflow_graph_jobs_total", Counter, "state",
        "Graph jobs that reached a final state, counted by their owner.";
    GRAPH_LATE_JOBS = "shallotflow_graph_late_jobs_total", Counter, "queue",
        "Graph jobs that failed or ended after their objective, by queue, counted by their owner.";
    GRAPH_LATE_MS = "shallotflow_graph_late_milliseconds_total", Counter, "queue, cause",
        "Time of these jobs on the chain of their last tasks, by what it was used for other than the work.";
    GRAPH_DISTURBANCE_ERROR = "shallotflow_graph_disturbance_error", Gauge, "model",
        "Mean error of the expected tail latency of serving tasks as a share of their target, with the learned disturbance and with none.";
    GRAPH_STOPS = "shallotflow_graph_stops_total", Counter, "reason",
        "Runs that were ordered to stop, by reason.";
    GRAPH_CRASHES = "shallotflow_graph_crashes_total", Counter, "",
        "Workers that crashed while they had runs.";
    GRAPH_SUSPECTS = "shallotflow_graph_suspects_total", Counter, "alone",
        "Runs that may have crashed their worker, by whether nothing else could have.";
    GRAPH_GIVEN_UP = "shallotflow_graph_given_up_total", Counter, "",
        "Tasks that were given up because they crash workers.";
    GRAPH_STARVED = "shallotflow_graph_starved_total", Counter, "",
        "Starts of jobs of which nothing had run for too long, beyond the limits for best-effort tasks.";
    GRAPH_OWNED = "shallotflow_graph_owned", Gauge, "",
        "1 while the entry owns the table of graphs, otherwise 0.";
    GRAPH_EVACUATED = "shallotflow_graph_evacuated_domains", Gauge, "",
        "Failure domains at whose workers the owner of the table of graphs starts nothing.";
    GRAPH_EVACUATION_REFUSALS = "shallotflow_graph_evacuation_refusals_total", Counter, "",
        "Starts of graph tasks that were withdrawn or refused because of an evacuation.";
    GRAPH_RECORDS = "shallotflow_graph_records_total", Counter, "result",
        "Commits of graph progress to the store, by result.";
    GRAPH_OPEN_JOBS = "shallotflow_graph_open_jobs", Gauge, "",
        "Best-effort graph jobs of queues with an objective that have begun, at their owner.";
    GRAPH_OVERLOAD_REFUSALS = "shallotflow_graph_overload_refusals_total", Counter, "",
        "Graph jobs that an entry refused because they could not end in time.";
    GRAPH_BACKLOG = "shallotflow_graph_backlog_seconds", Gauge, "",
        "Longest expected time in which the accepted best-effort graph jobs are done, at their owner.";
    START_CALL = "shallotflow_start_call_seconds", Histogram, "",
        "Time until a worker answered a start call, measured by its agent.";
    PACES = "shallotflow_paces_total", Counter, "",
        "Pace changes that an agent applied to best-effort tasks.";
    WORKER_LOST = "shallotflow_worker_lost_total", Counter, "",
        "Times that an agent lost contact with its worker.";
    OWNED_LEDGERS = "shallotflow_owned_ledgers", Gauge, "",
        "Ledgers that an entry owns.";
}

//! The metrics that the processes record: their names, labels, units and meanings.

/// How a metric is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows while a process runs.
    Counter,
    /// Goes up and down.
    Gauge,
    /// A distribution in buckets.
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

/// One metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Its name, with its unit.
    pub name: &'static str,
    /// How it is counted.
    pub kind: Kind,
    /// The labels that it carries, separated by commas.
    pub labels: &'static str,
    /// What it means.
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
        "Time from a quick request's arrival at an entry to the end of its answer.";
    REQUESTS = "shallotflow_requests_total", Counter, "class, outcome",
        "Requests answered, by outcome.";
    REFUSALS = "shallotflow_refusals_total", Counter, "reason",
        "Requests refused, by the code of the problem.";
    RETRIES = "shallotflow_retries_total", Counter, "",
        "Requests tried again at another target.";
    RETRY_BUDGET = "shallotflow_retry_budget", Gauge, "",
        "Retries that may be made at once.";
    HEAD_OF_LINE_WAIT = "shallotflow_head_of_line_wait_seconds", Histogram, "class",
        "Time that work waited at an agent while longer work held the slots.";
    BATCH_STARTED = "shallotflow_batch_started_total", Counter, "",
        "Batch tasks started.";
    BATCH_ENDED = "shallotflow_batch_ended_total", Counter, "state",
        "Batch jobs that reached a final state; its rate is the batch throughput.";
    BATCH_BACKLOG = "shallotflow_batch_backlog", Gauge, "",
        "Batch jobs that wait for a start in the ledgers owned here.";
    EVICTIONS = "shallotflow_evictions_total", Counter, "",
        "Batch tasks checkpointed and stopped to make room for quick work.";
    THROTTLES = "shallotflow_throttles_total", Counter, "",
        "Steps by which batch tasks were throttled.";
    TARGETS = "shallotflow_targets", Gauge, "state",
        "Targets known to an entry, by state.";
    EJECTIONS = "shallotflow_ejections_total", Counter, "cause",
        "Targets set aside for failing or being slow, by cause.";
    WATCHERS = "shallotflow_watchers", Gauge, "",
        "Watchers that an entry holds.";
    RELAYED = "shallotflow_relayed_total", Counter, "",
        "Requests passed to another entry, because their kind is unknown here.";
    REPORTS = "shallotflow_reports_total", Counter, "",
        "Reports taken by an entry or sent by an agent.";
    CONFIG_REVISION = "shallotflow_config_revision", Gauge, "",
        "Revision of the fleet configuration in force.";
    STORE_CALLS = "shallotflow_store_calls_total", Counter, "call, result",
        "Calls to the store.";
    GRAPH_SUBMISSIONS = "shallotflow_graph_submissions_total", Counter, "outcome",
        "Jobs handed in to an entry as graphs, by what became of them.";
    GRAPH_SUBMIT = "shallotflow_graph_submit_seconds", Histogram, "",
        "Time until a caller that handed a graph in was answered.";
    GRAPH_STARTS = "shallotflow_graph_starts_total", Counter, "",
        "Runs whose start an owner ordered.";
    GRAPH_START_WAIT = "shallotflow_graph_start_wait_seconds", Histogram, "",
        "Time from when a task could run to the order of its start.";
    GRAPH_ENDS = "shallotflow_graph_ends_total", Counter, "how",
        "Runs that ended, by how, as their owner heard.";
    GRAPH_JOBS = "shallotflow_graph_jobs_total", Counter, "state",
        "Graphs that reached a final state at their owner.";
    GRAPH_STOPS = "shallotflow_graph_stops_total", Counter, "reason",
        "Runs that were ordered to stop, by reason.";
    GRAPH_OWNED = "shallotflow_graph_owned", Gauge, "",
        "1 while the entry owns the table of graphs.";
    GRAPH_RECORDS = "shallotflow_graph_records_total", Counter, "result",
        "Commits of progress to the store.";
    START_CALL = "shallotflow_start_call_seconds", Histogram, "",
        "Time until a worker answered a start, as its agent saw it.";
    PACES = "shallotflow_paces_total", Counter, "",
        "Times that an agent changed how fast tasks that fill may work.";
    WORKER_LOST = "shallotflow_worker_lost_total", Counter, "",
        "Times that an agent lost its worker.";
    OWNED_LEDGERS = "shallotflow_owned_ledgers", Gauge, "",
        "Ledgers that an entry owns.";
}

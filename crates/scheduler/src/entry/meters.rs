//! The metrics of an entry.

use super::Submission;
use metrics::{counter, gauge, histogram};
use shallotflow_core::metric;
use shallotflow_policy::disturbance::Rates;
use shallotflow_policy::plan::waits::{Reason, Sum};
use shallotflow_policy::plan::{Event, Table};
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts the outcome of a submission and records how long its caller waited.
pub(super) fn submitted(submission: Submission, took: Duration) {
    let outcome = match submission {
        Submission::Accepted => "accepted",
        Submission::Refused { .. } => "refused",
        Submission::Overloaded { .. } => "overloaded",
        Submission::TooLarge { .. } => "too-large",
        Submission::Unknown => "unknown",
    };
    if matches!(submission, Submission::Overloaded { .. }) {
        counter!(metric::GRAPH_OVERLOAD_REFUSALS).increment(1);
    }
    counter!(metric::GRAPH_SUBMISSIONS, "outcome" => outcome).increment(1);
    histogram!(metric::GRAPH_SUBMIT).record(took.as_secs_f64());
}

/// Counts a decision or observation of the owner.
pub(super) fn event(event: &Event) {
    match event {
        Event::Start { waited_ms, near, near_wait_ms, .. } => {
            counter!(metric::GRAPH_STARTS).increment(1);
            let waited = Duration::from_millis(*waited_ms);
            histogram!(metric::GRAPH_START_WAIT).record(waited.as_secs_f64());
            match near {
                Some(true) => counter!(metric::GRAPH_NEAR_STARTS).increment(1),
                Some(false) => counter!(metric::GRAPH_FAR_STARTS).increment(1),
                None => {}
            }
            if *near_wait_ms > 0 {
                let waited = Duration::from_millis(*near_wait_ms);
                histogram!(metric::GRAPH_LOCALITY_WAITS).record(waited.as_secs_f64());
            }
        }
        Event::Stop { reason, .. } => {
            counter!(metric::GRAPH_STOPS, "reason" => *reason).increment(1);
        }
        Event::End { reason, .. } => {
            counter!(metric::GRAPH_ENDS, "how" => reason.as_str()).increment(1);
        }
        Event::Job { state, .. } => {
            counter!(metric::GRAPH_JOBS, "state" => state.as_str()).increment(1);
        }
        Event::Lost { crash: true, .. } => {
            counter!(metric::GRAPH_CRASHES).increment(1);
        }
        Event::Suspect { alone, .. } => {
            let alone = if *alone { "yes" } else { "no" };
            counter!(metric::GRAPH_SUSPECTS, "alone" => alone).increment(1);
        }
        Event::Ended { queue, late: true, delay, .. } => {
            counter!(metric::GRAPH_LATE_JOBS, "queue" => queue.to_string()).increment(1);
            for (cause, ms) in delay.causes().into_iter().filter(|(_, ms)| *ms > 0) {
                let labels = [("queue", queue.to_string()), ("cause", cause.to_owned())];
                counter!(metric::GRAPH_LATE_MS, &labels).increment(ms);
            }
        }
        Event::Starved { .. } => counter!(metric::GRAPH_STARVED).increment(1),
        Event::GivenUp { .. } => counter!(metric::GRAPH_GIVEN_UP).increment(1),
        _ => {}
    }
}

/// Records the work that the owner has accepted.
pub(super) fn backlog(table: &Table) {
    gauge!(metric::GRAPH_BACKLOG).set(table.backlog().longest_drain().as_secs_f64());
    #[allow(clippy::cast_precision_loss)]
    gauge!(metric::GRAPH_OPEN_JOBS).set(table.open_jobs() as f64);
}

/// Records the tasks that do not run, by reason; a reason that is not in `sums` holds none.
pub(super) fn waits(sums: &BTreeMap<Reason, Sum>) {
    for reason in Reason::ALL {
        let Sum { tasks, longest } = sums.get(&reason).copied().unwrap_or_default();
        let reason = reason.as_str();
        #[allow(clippy::cast_precision_loss)]
        gauge!(metric::GRAPH_WAITING_TASKS, "reason" => reason).set(tasks as f64);
        gauge!(metric::GRAPH_LONGEST_WAIT, "reason" => reason).set(longest.as_secs_f64());
    }
}

/// Records the number of runs that occupy workers, although they are the current run of no task.
pub(super) fn remnants(runs: usize) {
    let runs = u32::try_from(runs).unwrap_or(u32::MAX);
    gauge!(metric::GRAPH_REMNANTS).set(f64::from(runs));
}

/// Records how well the learned disturbance predicts what workers measure.
pub(super) fn disturbance(rates: &Rates) {
    let deviation = rates.deviation();
    gauge!(metric::GRAPH_DISTURBANCE_ERROR, "model" => "learned").set(deviation.learned);
    gauge!(metric::GRAPH_DISTURBANCE_ERROR, "model" => "none").set(deviation.alone);
}

/// Records whether the entry owns the table.
pub(super) fn owned(owned: bool) {
    gauge!(metric::GRAPH_OWNED).set(if owned { 1.0 } else { 0.0 });
}

/// Records the number of evacuated failure domains.
pub(super) fn evacuated(domains: usize) {
    let domains = u32::try_from(domains).unwrap_or(u32::MAX);
    gauge!(metric::GRAPH_EVACUATED).set(f64::from(domains));
}

/// Counts starts that were withdrawn or refused because of an evacuation.
pub(super) fn evacuation_refusals(starts: u64) {
    if starts > 0 {
        counter!(metric::GRAPH_EVACUATION_REFUSALS).increment(starts);
    }
}

/// Counts a commit of progress records by its result.
pub(super) fn recorded(result: &'static str) {
    counter!(metric::GRAPH_RECORDS, "result" => result).increment(1);
}

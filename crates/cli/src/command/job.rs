//! How a job is shown.

use crate::answer::Answer;
use serde_json::json;
use shallotflow_core::ini::codec::{Codec, Timestamp};
use shallotflow_core::job::{Record, State};

/// The columns of a table of jobs.
pub(super) const HEAD: [&str; 7] =
    ["ID", "KIND", "STATE", "ATTEMPTS", "WORKER", "SUBMITTED", "REASON"];

/// The row of a job.
pub(super) fn row(record: &Record) -> Vec<String> {
    let state = match record.state.is_final() || !record.cancelled {
        true => record.state.as_str().to_owned(),
        false => format!("{}, cancelling", record.state.as_str()),
    };
    vec![
        record.id.to_string(),
        record.spec.kind.to_string(),
        state,
        record.attempts.to_string(),
        worker(record).to_owned(),
        Timestamp::print(&(record.submitted_unix_ms / 1_000)),
        reason(record).to_owned(),
    ]
}

/// One job, as a table of one row.
pub(super) fn answer(record: &Record) -> Answer {
    Answer::table(&HEAD, vec![row(record)], "", json!(record))
}

fn worker(record: &Record) -> &str {
    match &record.state {
        State::Started { worker, .. } => worker,
        _ => "",
    }
}

fn reason(record: &Record) -> &str {
    match &record.state {
        State::Failed { reason } | State::Unknown { reason } | State::Parked { reason } => reason,
        _ => "",
    }
}

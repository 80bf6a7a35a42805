//! The output for batch jobs.

use crate::output::Output;
use serde_json::json;
use shallotflow_core::ini::codec::{Codec, Timestamp};
use shallotflow_core::job::{Record, State};

/// The columns of the job table.
pub(super) const COLUMNS: [&str; 7] =
    ["ID", "KIND", "STATE", "ATTEMPTS", "WORKER", "SUBMITTED", "REASON"];

/// Formats a job as a table row.
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

/// Formats a single job as a table with one row.
pub(super) fn output(record: &Record) -> Output {
    Output::table(&COLUMNS, vec![row(record)], "", json!(record))
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

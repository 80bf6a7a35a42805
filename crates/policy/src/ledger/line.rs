//! Lines of a segment: the specification of a job is written once, its status at each change.

use serde::{Deserialize, Serialize};
use shallotflow_core::job::{Record, Spec, State};
use shallotflow_core::name::Name;

/// What a segment says of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The job.
    pub id: Name,
    /// What was asked for, in the line that creates the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub creation: Option<Creation>,
    /// Where the job stands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<Progress>,
}

/// The part of a job that never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Creation {
    /// What was asked for.
    pub spec: Spec,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_unix_ms: u64,
}

/// The part of a job that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// Where it stands.
    pub state: State,
    /// Starts committed so far.
    pub attempts: u32,
    /// Attempts that failed or were lost.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The last acknowledged checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Name>,
    /// Whether an attempt has started from the checkpoint.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spent: bool,
    /// Whether a cancellation was asked for.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// When it reached a final state, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finished_unix_ms: Option<u64>,
}

impl Creation {
    /// The unchanging part of `record`.
    pub fn of(record: &Record) -> Self {
        Self { spec: record.spec.clone(), submitted_unix_ms: record.submitted_unix_ms }
    }

    /// The record of the job `id` that stands at `progress`.
    pub fn record(self, id: Name, progress: Progress) -> Record {
        Record {
            id,
            spec: self.spec,
            state: progress.state,
            attempts: progress.attempts,
            failures: progress.failures,
            checkpoint: progress.checkpoint,
            cancelled: progress.cancelled,
            submitted_unix_ms: self.submitted_unix_ms,
            finished_unix_ms: progress.finished_unix_ms,
        }
    }
}

impl Progress {
    /// The changing part of `record`; `spent` says whether an attempt started from its checkpoint.
    pub fn of(record: &Record, spent: bool) -> Self {
        Self {
            state: record.state.clone(),
            attempts: record.attempts,
            failures: record.failures,
            checkpoint: record.checkpoint.clone(),
            spent,
            cancelled: record.cancelled,
            finished_unix_ms: record.finished_unix_ms,
        }
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

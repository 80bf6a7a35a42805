//! Lines of a segment: a job's specification is written once, its status at each change.

use serde::{Deserialize, Serialize};
use shallotflow_core::job::{Record, Spec, State};
use shallotflow_core::name::Name;

/// The state of one job in a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The job identifier.
    pub id: Name,
    /// The specification; only in the line that creates the job and where compaction moves it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub creation: Option<Creation>,
    /// The status of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<Progress>,
}

/// The part of a job that never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Creation {
    /// The specification from the caller.
    pub spec: Spec,
    /// Submission time, milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

/// The part of a job that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The state of the job.
    pub state: State,
    /// Number of committed starts.
    pub attempts: u32,
    /// Number of attempts that failed or were lost.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The last acknowledged checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Name>,
    /// Whether an attempt has already started from the checkpoint.
    #[serde(rename = "spent", default, skip_serializing_if = "std::ops::Not::not")]
    pub checkpoint_used: bool,
    /// Whether cancellation was requested.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Time at which it reached a final state, milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finished_unix_ms: Option<u64>,
}

impl Creation {
    /// Returns the immutable part of `record`.
    pub fn of(record: &Record) -> Self {
        Self { spec: record.spec.clone(), submitted_unix_ms: record.submitted_unix_ms }
    }

    /// Returns the record of the job `id` with the status `progress`.
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
    /// Returns the mutable part of `record`; `checkpoint_used` states whether an attempt has
    /// started from its checkpoint.
    pub fn of(record: &Record, checkpoint_used: bool) -> Self {
        Self {
            state: record.state.clone(),
            attempts: record.attempts,
            failures: record.failures,
            checkpoint: record.checkpoint.clone(),
            checkpoint_used,
            cancelled: record.cancelled,
            finished_unix_ms: record.finished_unix_ms,
        }
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

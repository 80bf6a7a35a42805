//! Converts the worker's messages to types of the lease table.

use crate::worker::Attachment;
use shallotflow_core::task::Phase;
use shallotflow_core::time::Time;
use shallotflow_policy::lease::{Adoption, Observation};
use shallotflow_wire::control::Task;
use std::time::Duration;

/// The adoption of a task found at the worker after a restart of the agent.
pub(crate) fn adoption(attachment: &Attachment, task: &Task, now: Time) -> Adoption {
    Adoption {
        epoch: task.epoch,
        kind: task.kind.clone(),
        resources: task.resources,
        deadline: attachment.from_worker(Time::from_micros(task.deadline_us)),
        started: now.before(Duration::from_millis(task.run_ms)),
    }
}

/// The state of a task in the worker's list.
pub(crate) fn observation(task: &Task) -> Observation {
    Observation {
        phase: task.phase,
        checkpoint: task.checkpoint.clone(),
        reason: task.reason.clone(),
        run_ms: task.run_ms,
        unsaved_ms: task.unsaved_ms,
    }
}

/// The observation of a task whose worker restarted.
pub(crate) fn lapsed() -> Observation {
    Observation {
        phase: Phase::Lapsed,
        checkpoint: String::new(),
        reason: "its worker restarted".to_owned(),
        run_ms: 0,
        unsaved_ms: 0,
    }
}

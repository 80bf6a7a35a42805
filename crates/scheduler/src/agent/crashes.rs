use shallotflow_policy::plan::message::Crash;
use std::collections::VecDeque;

/// Maximum number of crashes that are kept: a task is given up after five, and the owner records one
/// within a second unless the store answers nobody.
const MAX_CRASHES: usize = 16;

/// Crashes of the worker that no owner has confirmed as recorded, the earliest first.
///
/// An owner that is replaced before it records a crash takes what it knows with it; the agent reports
/// the crash to the next one.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    unrecorded: VecDeque<Crash>,
    /// Start of the latest incarnation whose crash was added, milliseconds since 1970.
    latest_ms: u64,
}

impl Crashes {
    /// Adds a crash, if it may have ended runs or has taken ends with it. An incarnation can be seen to
    /// be gone and later to be replaced; the first observation counts.
    pub(super) fn push(&mut self, crash: Crash) {
        let started_ms = crash.incarnation.started_ms;
        let empty = crash.runs.is_empty() && crash.ends.is_empty();
        if started_ms <= self.latest_ms || empty {
            return;
        }
        self.latest_ms = started_ms;
        self.unrecorded.push_back(crash);
        if self.unrecorded.len() > MAX_CRASHES {
            self.unrecorded.pop_front();
        }
    }

    /// Removes the crashes of incarnations that started up to `started_ms`, milliseconds since 1970.
    pub(super) fn mark_recorded(&mut self, started_ms: u64) {
        self.unrecorded.retain(|crash| crash.incarnation.started_ms > started_ms);
    }

    /// Returns the crashes to report.
    pub(super) fn unrecorded(&self) -> Vec<Crash> {
        self.unrecorded.iter().cloned().collect()
    }
}

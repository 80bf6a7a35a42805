use shallotflow_policy::plan::message::{Crash, Incarnation};
use std::collections::VecDeque;

/// Maximum number of crashes that are kept: a task is given up after five, and the owner records one
/// within a second unless the store answers nobody.
const MAX_CRASHES: usize = 16;

/// Crashes of the worker that no owner has confirmed as recorded, in the order in which they were seen.
///
/// The starts of the incarnations show no order: the clock of the machine may be set back between two.
///
/// An owner that is replaced before it records a crash takes what it knows with it; the agent reports
/// the crash to the next one.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    unrecorded: VecDeque<Crash>,
    /// The incarnation whose crash was added last.
    latest: Option<Incarnation>,
}

impl Crashes {
    /// Adds a crash, if it may have ended runs or has taken ends with it. An incarnation can be seen to
    /// be gone and later to be replaced; the first observation counts.
    pub(super) fn push(&mut self, crash: Crash) {
        let empty = crash.runs.is_empty() && crash.ends.is_empty();
        if self.latest.as_ref() == Some(&crash.incarnation) || empty {
            return;
        }
        self.latest = Some(crash.incarnation.clone());
        self.unrecorded.push_back(crash);
        if self.unrecorded.len() > MAX_CRASHES {
            self.unrecorded.pop_front();
        }
    }

    /// Removes the crashes up to that of the incarnation that started at `started_ms`, milliseconds since
    /// 1970; none if it is not there.
    pub(super) fn mark_recorded(&mut self, started_ms: u64) {
        let is_last = |crash: &Crash| crash.incarnation.started_ms == started_ms;
        if let Some(last) = self.unrecorded.iter().position(is_last) {
            self.unrecorded.drain(..=last);
        }
    }

    /// Returns the crashes to report.
    pub(super) fn unrecorded(&self) -> Vec<Crash> {
        self.unrecorded.iter().cloned().collect()
    }
}

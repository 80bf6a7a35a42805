use super::run_table::Key;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// Starts that a worker may carry out although no answer shows that, in whichever incarnation it has by then.
#[derive(Debug, Default)]
pub(super) struct OpenStarts {
    starts: BTreeMap<Key, OpenStart>,
}

#[derive(Debug)]
struct OpenStart {
    /// When it was last sent, or known to be without an answer.
    sent: Time,
    /// Whether a call had no answer: a later answer settles another call only.
    unanswered: bool,
}

impl OpenStarts {
    /// Adds a start that is sent now.
    pub(super) fn begin(&mut self, key: Key, now: Time) {
        let start = self.starts.entry(key).or_insert(OpenStart { sent: now, unanswered: false });
        start.sent = start.sent.max(now);
    }

    /// Removes a start that is answered, unless another call for it was not.
    pub(super) fn end(&mut self, key: &Key) {
        if self.starts.get(key).is_some_and(|start| !start.unanswered) {
            self.starts.remove(key);
        }
    }

    /// Keeps a start whose call got no answer by `now`, or one that may have come from either of two
    /// incarnations.
    pub(super) fn mark_unanswered(&mut self, key: Key, now: Time) {
        self.begin(key, now);
        if let Some(start) = self.starts.get_mut(&key) {
            start.unanswered = true;
        }
    }

    /// Removes all starts.
    pub(super) fn clear(&mut self) {
        self.starts.clear();
    }

    /// Returns the starts that were sent at `since` or later.
    pub(super) fn since(&self, since: Time) -> Vec<Key> {
        let recent = self.starts.iter().filter(|(_, start)| start.sent >= since);
        recent.map(|(key, _)| *key).collect()
    }

    /// Drops the starts that were sent before `since`.
    pub(super) fn forget_before(&mut self, since: Time) {
        self.starts.retain(|_, start| start.sent >= since);
    }
}

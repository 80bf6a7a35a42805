//! What a commit changed, for operators' metrics.

use shallotflow_core::job::Record;

/// Counts of what came into the store with one segment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts started.
    pub started: u64,
    /// The final states that jobs reached.
    pub ended: Vec<&'static str>,
}

impl Tally {
    /// Counts the step of a job from the record committed before to `new`.
    pub(super) fn count(&mut self, old: Option<&Record>, new: &Record) {
        let attempts = old.map_or(0, |old| old.attempts);
        self.started += u64::from(new.attempts.saturating_sub(attempts));
        let was_final = old.is_some_and(|old| old.state.is_final());
        if new.state.is_final() && !was_final {
            self.ended.push(new.state.as_str());
        }
    }
}

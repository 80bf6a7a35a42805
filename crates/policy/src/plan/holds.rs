use super::waits::Reason;
use shallotflow_core::time::Time;
use std::time::Duration;

/// The rules by which the workers leave the tasks of an open step waiting. A worker that passes a task over for any
/// other reason counts as busy.
pub(super) const REASONS: [Reason; 4] =
    [Reason::Disturbing, Reason::NoRoom, Reason::Rack, Reason::Busy];

/// For how long each rule has held the waiting tasks of one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Holds {
    /// The rule in force, and since when.
    current: Option<(Reason, Time)>,
    /// Time by rule, in the order of [`REASONS`], without that of the rule in force.
    sums: [Duration; REASONS.len()],
}

impl Holds {
    /// Notes the rule that holds the tasks from `now` on; `None` if all of them have started.
    pub(super) fn set(&mut self, hold: Option<Reason>, now: Time) {
        if self.current.map(|(current, _)| current) == hold {
            return;
        }
        if let Some((former, since)) = self.current {
            for (_, sum) in REASONS.iter().zip(&mut self.sums).filter(|(rule, _)| **rule == former)
            {
                *sum += now.since(since);
            }
        }
        self.current = hold.map(|hold| (hold, now));
    }

    /// Splits `wait`, the time that a task of the step has waited, in proportion to the times of the
    /// rules; all of it is `other` if no rule held the step.
    pub(super) fn split(&self, wait: Duration) -> ([Duration; REASONS.len()], Duration) {
        let total = self.sums.iter().sum::<Duration>();
        if total.is_zero() {
            return (self.sums, wait);
        }
        let held = wait.min(total);
        let share = held.as_secs_f64() / total.as_secs_f64();
        (self.sums.map(|sum| sum.mul_f64(share)), wait - held)
    }
}

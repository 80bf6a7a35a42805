//! Whether an attempt may be followed by another one.

use super::Budget;
use crate::planted::{self, Fault};
use shallotflow_core::outcome::Outcome;
use shallotflow_core::time::Time;

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// What is known of it.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request's body can be sent again.
    pub replayable: bool,
    /// Attempts so far, this one included.
    pub number: u32,
    /// The deadline of the request.
    pub deadline: Time,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Another attempt at another target; its token is spent.
    Again,
    /// The request may not be tried again, because of what is known of it.
    Final,
    /// The deadline has passed.
    TooLate,
    /// It was tried often enough.
    Exhausted,
    /// There are too many retries at present.
    OverBudget,
}

/// Decides what follows `attempt`, and spends a token when that is another attempt.
pub fn decide(attempt: &Attempt, budget: &mut Budget, now: Time) -> Verdict {
    let allowed = match attempt.outcome {
        Outcome::Done => false,
        Outcome::NotRun => attempt.replayable,
        Outcome::Unknown => {
            let repeatable = attempt.idempotent || planted::is_on(Fault::RetryOfUnknown);
            attempt.replayable && repeatable
        }
    };
    if !allowed {
        return Verdict::Final;
    }
    if attempt.deadline.passed(now) {
        return Verdict::TooLate;
    }
    if attempt.number >= budget.settings().attempts {
        return Verdict::Exhausted;
    }
    if !budget.spend(now) {
        return Verdict::OverBudget;
    }
    Verdict::Again
}

//! Whether an attempt may be followed by another one.

use super::{Budget, Settings};
use crate::injected::{self, Fault};
use shallotflow_core::outcome::Outcome;
use shallotflow_core::time::Time;
use std::time::Duration;

/// An attempt is cut short only after this many times the time that it was expected to take.
const FAIR_FACTOR: u32 = 4;

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
    Retry,
    /// The request may not be tried again, because of what is known of it.
    NotRetryable,
    /// The deadline has passed.
    DeadlinePassed,
    /// It was tried often enough.
    AttemptsExhausted,
    /// There are too many retries at present.
    BudgetExhausted,
}

/// Until when an attempt is waited for that starts `now` and is `expected` to take so long.
///
/// A request that may be tried again gives a silent target half of the time left, so that another
/// target can still answer in time.
pub fn attempt_deadline(
    attempt: &Attempt,
    expected: Duration,
    settings: &Settings,
    now: Time,
) -> Time {
    let repeatable = attempt.idempotent && attempt.replayable;
    let half = attempt.deadline.remaining(now) / 2;
    let fair = half >= expected.saturating_mul(FAIR_FACTOR);
    if repeatable && fair && attempt.number < settings.attempts {
        return now.after(half);
    }
    attempt.deadline
}

/// Decides what follows `attempt`, and spends a token when that is another attempt.
pub fn decide(attempt: &Attempt, budget: &mut Budget, now: Time) -> Verdict {
    let allowed = match attempt.outcome {
        Outcome::Done => false,
        Outcome::NotRun => attempt.replayable,
        Outcome::Unknown => {
            let repeatable = attempt.idempotent || injected::is_on(Fault::RetryOfUnknown);
            attempt.replayable && repeatable
        }
    };
    if !allowed {
        return Verdict::NotRetryable;
    }
    if attempt.deadline.passed(now) {
        return Verdict::DeadlinePassed;
    }
    if attempt.number >= budget.settings().attempts {
        return Verdict::AttemptsExhausted;
    }
    if !budget.spend(now) {
        return Verdict::BudgetExhausted;
    }
    Verdict::Retry
}

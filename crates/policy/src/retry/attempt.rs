//! Decision on a retry after an attempt, and the time limit of an attempt.

use super::{Budget, Settings};
use crate::injected::{self, Fault};
use shallotflow_core::outcome::Outcome;
use shallotflow_core::time::Time;
use std::time::Duration;

/// An attempt's time limit is shortened only if it stays at least this many times the expected
/// latency.
const SHORTEN_FACTOR: u32 = 4;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// What is known of its outcome.
    pub outcome: Outcome,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Whether the request's body can be sent again.
    pub replayable: bool,
    /// Number of attempts including this one.
    pub number: u32,
    /// The deadline of the request.
    pub deadline: Time,
}

/// Decision on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry at another target; the token is spent.
    Retry,
    /// The request is done, cannot be replayed, or may have run and is not idempotent.
    NotRetryable,
    /// The deadline has passed.
    DeadlinePassed,
    /// The request has used all its attempts.
    AttemptsExhausted,
    /// The budget has no token left.
    BudgetExhausted,
}

/// Deadline of an attempt that starts at `now` and is `expected` to take this long.
///
/// An attempt of a retryable request gets half of the time left, so that another target can still
/// answer in time if this one is silent. The last attempt gets all of it, and so does one whose
/// half would be too short for the expected latency.
pub fn attempt_deadline(
    attempt: &Attempt,
    expected: Duration,
    settings: &Settings,
    now: Time,
) -> Time {
    let retryable = attempt.idempotent && attempt.replayable;
    let half = attempt.deadline.left(now) / 2;
    let long_enough = half >= expected.saturating_mul(SHORTEN_FACTOR);
    if retryable && long_enough && attempt.number < settings.attempts {
        return now.after(half);
    }
    attempt.deadline
}

/// Decides whether `attempt` is followed by a retry, and spends a token if it is.
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

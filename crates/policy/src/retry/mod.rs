//! Retries within a budget.
//!
//! [`decide`] allows a retry only before the deadline, only if the request is idempotent or has
//! not run, and only while the [`Budget`] has a token. Each request earns a share of a token, so
//! that retries stay a bounded share of the load even if every target fails.

mod attempt;
mod budget;
mod settings;

pub use attempt::{Attempt, Verdict, attempt_deadline, decide};
pub use budget::Budget;
pub use settings::Settings;

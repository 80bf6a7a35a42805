//! Retries within a budget.
//!
//! [`decide`] says whether an attempt may be followed by another one: never after the deadline,
//! never when a request that is not idempotent may have run, and only while the [`Budget`] has a
//! token. Each request earns a share of a token, so that retries stay a bounded share of the load
//! when every target fails.

mod attempt;
mod budget;
mod settings;

pub use attempt::{Attempt, Verdict, attempt_deadline, decide};
pub use budget::Budget;
pub use settings::Settings;

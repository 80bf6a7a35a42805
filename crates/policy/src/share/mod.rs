//! Fair shares of callers, and load shedding under overload.
//!
//! [`Table`] counts the requests in progress of each caller in a fixed number of cells, so that a
//! client that invents caller names cannot exhaust memory. [`admit()`] refuses a request
//! immediately if it is not expected to meet its deadline, if its caller exceeds its share while
//! requests wait, or if the limit on watchers is reached.

mod admit;
mod settings;
mod table;

pub use admit::{Claim, Refusal, admit};
pub use settings::Settings;
pub use table::Table;

//! Fair shares of callers and shedding under overload.
//!
//! [`Table`] counts the requests in progress of each caller in a fixed number of cells, so that
//! names made up by one client take no memory. [`admit`] refuses a request at once when it could
//! not be answered in its deadline, when its caller takes more than its share while others wait,
//! or when there are as many watchers as there may be.

mod admit;
mod settings;
mod table;

pub use admit::{Claim, Refusal, admit};
pub use settings::Settings;
pub use table::Table;

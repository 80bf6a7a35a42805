//! Sizes and run times, learned from late reports.
//!
//! What a caller declares is only a prior: each kind keeps the ratio of what was measured to what
//! was declared.

mod kind;
mod settings;
mod table;

pub use kind::Kind;
pub use settings::Settings;
pub use table::Table;

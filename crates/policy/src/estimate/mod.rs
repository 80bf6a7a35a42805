//! Resource demands and run times, learned from measurements that arrive late.
//!
//! A caller's declaration is only a prior: for each kind, the ratio of measured to declared values
//! is learned.

mod kind;
mod settings;
mod table;

pub use kind::Kind;
pub use settings::Settings;
pub use table::Table;

//! Setting failing and slow workers aside, within a bound.
//!
//! A target that fails several requests in a row, that fails far more often than others, or that
//! is far slower than others of its kind is set aside for a time that grows with each repetition.
//! Afterwards it gets one request at a time until it has proved itself. Of each kind only a
//! bounded share of the targets is set aside, so that a fault that all of them share never takes
//! the whole kind away.

mod record;
mod settings;
mod table;

pub use settings::Settings;
pub use table::{Cause, Change, Sample, Table};

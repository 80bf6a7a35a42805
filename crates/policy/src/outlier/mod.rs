//! Ejection of failing and slow workers, limited to a share of each kind.
//!
//! A target is ejected if it fails several requests in a row, if its failure rate is too high, or
//! if it is far slower than expected for the kind. The ejection time grows with each ejection.
//! Afterwards the target is on probation: it gets one request at a time until enough of them
//! succeed in a row. Only a bounded share of the targets of a kind is ejected, so that a fault
//! common to all of them never makes the whole kind unavailable.

mod record;
mod settings;
mod table;

pub use settings::Settings;
pub use table::{Cause, Change, Sample, Table};

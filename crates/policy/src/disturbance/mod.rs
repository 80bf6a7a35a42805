//! Slowdown of one kind by another, learned per pair.
//!
//! Measurements come late. Each is applied to the moment that it describes: a history tells what
//! ran then. The slowdown of a kind is one plus the sum of what each neighbor adds; what a pair
//! adds starts at a prior and returns to it when nothing is measured.
//!
//! [`Rates`] does the same for neighbors whose shares of the worker are known.

mod history;
mod rates;
mod settings;
mod table;

pub use history::History;
pub use rates::Rates;
pub use settings::Settings;
pub use table::Table;

//! Slowdown of one kind by another, learned per pair.
//!
//! Measurements arrive late. Each is attributed to the kinds that ran at the time of the
//! measurement, which [`History`] records. The slowdown of a kind is modelled as one plus the sum
//! of what each neighbor adds; the value of a pair starts at a prior and decays back to it while
//! nothing is measured.
//!
//! [`Rates`] is the model for neighbors whose shares of the worker are known.

mod deviation;
mod history;
mod rates;
mod sample;
mod settings;
mod table;

pub use deviation::Deviation;
pub use history::History;
pub use rates::Rates;
pub use sample::Sample;
pub use settings::Settings;
pub use table::Table;

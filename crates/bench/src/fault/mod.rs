//! Faults that come over a floor while its load goes on.
//!
//! - [`Scenario`]: the faults by name.
//! - [`Director`]: begins and ends the faults of a run when they are due.
//! - [`Race`]: operators who change the configuration at the same moment.
//! - [`shape`]: the load that some scenarios ask for.

mod controller;
mod injector;
mod race;
mod scenario;
pub mod shape;

pub use controller::{Controller, window};
pub use injector::Injector;
pub use race::{ConfigReport, Race};
pub use scenario::{Scenario, Scenarios};

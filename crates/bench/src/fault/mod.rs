//! Faults injected into a testbed while it is under load.
//!
//! - [`Scenario`]: the faults by name.
//! - [`Controller`]: begins and ends the faults of a run when they are due.
//! - [`Injector`]: applies faults to the processes.
//! - [`Race`]: operators who change the configuration concurrently.
//! - [`shape`]: the load changes of some scenarios.

mod controller;
mod injector;
mod race;
mod scenario;
pub mod shape;

pub use controller::{Controller, window};
pub use injector::Injector;
pub use race::{ConfigReport, Race};
pub use scenario::{Scenario, Scenarios};

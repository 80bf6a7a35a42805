//! Faults that come over a floor while its load goes on.
//!
//! - [`Scenario`]: the faults by name.
//! - [`Director`]: begins and ends the faults of a run when they are due.
//! - [`Race`]: operators who change the configuration at the same moment.
//! - [`shape`]: the load that some scenarios ask for.

mod director;
mod race;
mod scenario;
pub mod shape;
mod stage;

pub use director::{Director, window};
pub use race::{Race, Verdict};
pub use scenario::{Scenario, Scenarios};
pub use stage::Stage;

//! Transition callers were told and what workers did.
//!
//! - [`Order`]: a job as its caller knows it.
//! - [`Run`]: one run of a task at a worker.
//! - [`Book`]: all of them.

mod order;
mod run;
mod whole;

pub use order::Order;
pub use run::Run;
pub use whole::Book;

//! The schedule of faults, derived from the seed.
//!
//! - [`Fault`]: a fault to inject.
//! - [`Injection`]: a scheduled fault.
//! - [`Targets`]: the processes and links that faults may affect.
//! - [`schedule()`]: the faults of one soak.
//! - [`evacuations()`]: the evacuations of one soak.
//! - [`losses()`]: the losses of open connections of one soak.

mod injection;
mod kind;
mod schedule;
mod targets;

pub use injection::Injection;
pub use kind::Fault;
pub use schedule::{evacuations, losses, schedule};
pub use targets::Targets;

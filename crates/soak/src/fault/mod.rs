//! The series of faults that a seed makes.
//!
//! - [`Fault`]: something that goes wrong.
//! - [`Planned`]: a fault with its time.
//! - [`Targets`]: what there is to go wrong.
//! - [`plan`]: the faults of one soak.

mod kind;
mod planned;
mod series;
mod targets;

pub use kind::Fault;
pub use planned::Planned;
pub use series::plan;
pub use targets::Targets;

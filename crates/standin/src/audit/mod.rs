//! What really happened, as the stand-ins saw it, with the promises that were broken.

mod shared;
mod violations;

pub use shared::{Audit, Record};
pub use violations::Violations;

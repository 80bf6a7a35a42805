//! Records what the stand-ins actually ran and which guarantees of the platform were violated.

mod record;
mod violations;

pub use record::{Audit, Record};
pub use violations::Violations;

//! A target that answers requests; other work on the same worker lengthens their service time.

mod serve;

pub use serve::Target;

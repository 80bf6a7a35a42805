//! Small stand-ins of the platform, for tests and demonstrations only.
//!
//! - [`store`]: the platform's key-value store, in memory, with faults.

pub mod store;

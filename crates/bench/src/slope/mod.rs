//! The processor time, memory, store calls and bytes that each further agent, target and task adds.
//!
//! - [`usage`]: resource use of threads and of the process.
//! - [`fit`]: linear regression.
//! - [`processes`]: testbeds of growing numbers of agents, without load.
//! - [`tables`]: the policy's tables at growing sizes.

pub mod fit;
pub mod processes;
pub mod tables;
pub mod usage;

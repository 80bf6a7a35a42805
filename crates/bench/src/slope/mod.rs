//! What each agent, target and task adds to processor time, memory, messages and bytes.
//!
//! - [`usage`]: what the threads and the process have used.
//! - [`fit`]: a line through measured points.
//! - [`processes`]: floors of growing numbers of agents, without load.
//! - [`tables`]: the policy's tables at growing sizes.

pub mod fit;
pub mod processes;
pub mod tables;
pub mod usage;

//! The processes of a testbed, as threads of this process.
//!
//! - [`node`]: a process on its own thread that can be killed, paused and stopped.
//! - [`backends`]: the entries behind the balancer.
//! - [`balancer`]: the platform's balancer in front of the entries.
//! - [`Baseline`]: the workers of a testbed under the naive scheduler.
//! - [`Cluster`]: all processes of a testbed, each replaceable during a run.

pub mod backends;
pub mod balancer;
mod baseline;
mod descriptors;
pub mod node;
mod processes;
mod settings;
mod switch;
mod worker;

pub use balancer::Balancer;
pub use baseline::Baseline;
pub use node::Node;
pub use processes::{Agent, Cluster, Entry, Platform};
pub use settings::Settings;
pub use worker::Worker;

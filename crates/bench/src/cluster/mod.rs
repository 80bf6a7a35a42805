//! The processes of a floor, as threads of this one.
//!
//! - [`node`]: a process on a thread that can be killed, paused and stopped.
//! - [`balancer`]: the platform's balancer in front of the entries.
//! - [`Baseline`]: the workers of a floor under the naive scheduler.
//! - [`Cluster`]: all processes of a floor, each replaceable while a run goes on.

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

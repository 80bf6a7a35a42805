//! The processes of a floor, as threads of this one.
//!
//! - [`node`]: a process on a thread that can be killed, paused and stopped.
//! - [`balancer`]: the platform's balancer in front of the entries.
//! - [`Cluster`]: all processes of a floor, each replaceable while a run goes on.

pub mod balancer;
mod descriptors;
pub mod node;
#[path = "cluster.rs"]
mod processes;
mod settings;
mod switch;

pub use balancer::Balancer;
pub use node::Node;
pub use processes::{Agent, Cluster, Entry, Platform, Worker};
pub use settings::Settings;

//! Proxies for the connections between the processes.
//!
//! - [`Link`]: the faults on the connections from one process to another.
//! - [`serve`]: accepts connections and relays them.

mod link;
mod relay;

pub use link::Link;
pub use relay::serve;

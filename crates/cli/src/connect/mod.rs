//! Connections to the store and to processes.

mod entry;
pub mod env;
mod http;
mod peers;
mod store;

pub use entry::{Entry, entry};
pub use http::{Response, send};
pub use peers::{Peers, optional_peers, peers};
pub use store::{Endpoints, endpoints, optional_endpoints};

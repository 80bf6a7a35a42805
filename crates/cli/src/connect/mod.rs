//! Where the command line connects.

mod callers;
mod http;
mod peers;
mod store;
pub mod variable;

pub use callers::{Callers, callers};
pub use http::{Reply, send};
pub use peers::{Peers, peers};
pub use store::{Endpoints, endpoints};

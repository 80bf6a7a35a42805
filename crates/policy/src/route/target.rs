//! Announced properties of a target.

use shallotflow_core::name::Name;
use std::net::SocketAddr;

/// Worker, address and kinds of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the worker.
    pub worker: Name,
    /// Name of its failure domain.
    pub domain: Name,
    /// Address at which its agent accepts requests.
    pub address: SocketAddr,
    /// Kinds that it serves.
    pub kinds: Vec<Name>,
}

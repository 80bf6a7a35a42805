use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::net::SocketAddr;

/// The owner of the table, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Owner {
    /// The owner's epoch, counted from 1; workers use it as a fence.
    pub epoch: u64,
    /// The name of the entry; empty once it has given the table up.
    pub entry: Name,
    /// The process number of the entry.
    pub process: u64,
    /// The address at which it serves calls.
    pub address: SocketAddr,
}

/// The presence of an entry, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Presence {
    /// The process number of the entry.
    pub process: u64,
    /// The address at which it serves calls.
    pub address: SocketAddr,
    /// The relative strength of its machine; the strongest entry claims first.
    #[serde(default)]
    pub strength: u32,
}

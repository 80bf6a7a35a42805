use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::net::SocketAddr;

/// Who owns the table, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Holder {
    /// Counts the owners, from 1; workers check it.
    pub epoch: u64,
    /// The entry; empty once it has given the table up.
    pub entry: Name,
    /// The process of the entry.
    pub process: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
}

/// An entry that is there, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Presence {
    /// The process of the entry.
    pub process: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// How much its machine can do, against others; the strongest entry claims first.
    #[serde(default)]
    pub strength: u32,
}

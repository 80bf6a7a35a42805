//! Calls between entries and agents, as packets of `tonic`.
//!
//! - [`Client`]: calls one peer, each call within its own time limit.
//! - [`Question`], [`Answer`]: what entries ask each other.
//! - [`Call`]: a call on its way to the loop of the process.
//! - [`Service`]: posts calls to that loop.
//! - [`serve`]: takes calls on a listener.

mod answer;
mod call;
mod client;
mod question;
mod serve;
mod service;

pub use answer::Answer;
pub use call::Call;
pub use client::Client;
pub use question::Question;
pub use serve::serve;
pub use service::Service;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why a call to a peer gave no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer did not answer in time.
    #[error("the peer did not answer within {0} ms; ask another one")]
    Slow(u128),
    /// The transport or the peer reported an error.
    #[error("the call failed ({0}); ask another peer")]
    Call(#[from] tonic::Status),
    /// The packet could not be read.
    #[error("the packet cannot be read ({0}); run the same version everywhere")]
    Packet(#[from] rmp_serde::decode::Error),
    /// The packet could not be written.
    #[error("the packet cannot be written ({0}); report this as a defect")]
    Unwritable(#[from] rmp_serde::encode::Error),
}

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Writes a domain type as the body of a packet or a record.
///
/// # Errors
///
/// Fails only for types that MessagePack cannot hold.
pub fn pack(value: &impl Serialize) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Reads a domain type from the body of a packet or a record.
///
/// # Errors
///
/// Fails when the body holds another type.
pub fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(body)?)
}

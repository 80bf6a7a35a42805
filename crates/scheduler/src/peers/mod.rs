//! Calls between entries and agents, as gRPC packets over `tonic`.
//!
//! - [`Client`]: calls one peer, each call with its own timeout.
//! - [`Request`], [`Response`]: the calls between entries.
//! - [`Call`]: a received call, on its way to the process's loop.
//! - [`Service`]: forwards received calls to that loop.
//! - [`serve`]: serves calls on a listener.

mod call;
mod client;
mod request;
mod response;
mod serve;
mod service;

pub use call::Call;
pub use client::Client;
pub use request::Request;
pub use response::Response;
pub use serve::serve;
pub use service::Service;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a message in bytes. Messages that callers or workers can make large are sent in parts
/// that stay well below it.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer did not answer in time.
    #[error("the peer did not answer within {0} ms; ask another one")]
    Timeout(u128),
    /// The transport or the peer reported an error.
    #[error("the call failed ({0}); ask another peer")]
    Call(#[from] tonic::Status),
    /// The packet could not be read.
    #[error("the packet cannot be read ({0}); run the same version everywhere")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The packet could not be written.
    #[error("the packet cannot be written ({0}); report this as a defect")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a domain type as the body of a packet or a record.
///
/// # Errors
///
/// Fails only for types that MessagePack cannot encode.
pub fn pack(value: &impl Serialize) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes a domain type from the body of a packet or a record.
///
/// # Errors
///
/// Fails when the body does not hold a `T`.
pub fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(body)?)
}

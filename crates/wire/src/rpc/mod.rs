//! `tonic` over the process's own single-threaded runtime.

mod channel;
mod server;

pub use channel::Channel;
pub use server::serve;

use std::net::SocketAddr;

/// Why a call could not be carried.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made; the call was not sent.
    #[error("{address} does not accept connections ({source}); check that the process runs there")]
    Connect {
        /// The address that was tried.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection broke; the call may have been carried out.
    #[error("the connection to {address} broke ({source}); read back before a retry")]
    Broken {
        /// The address of the peer.
        address: SocketAddr,
        /// What the transport said.
        source: hyper::Error,
    },
}

/// The result of a transport operation.
pub type Result<T> = std::result::Result<T, Error>;

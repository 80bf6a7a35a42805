//! `tonic` clients and servers on the single-threaded runtime of the process.

mod channel;
mod server;

pub use channel::Channel;
pub use server::{serve, serve_within};

use std::net::SocketAddr;

/// The reason why the transport of a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made; the call was not sent.
    #[error("{address} does not accept connections ({source}); check that the process runs there")]
    Connect {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection broke; the call may or may not have been processed.
    #[error("the connection to {address} broke ({source}); read back before a retry")]
    Broken {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the HTTP/2 connection.
        source: hyper::Error,
    },
}

/// The result of a transport operation.
pub type Result<T> = std::result::Result<T, Error>;

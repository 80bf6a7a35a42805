//! HTTP/1.1 connections with limits, streamed bodies and graceful shutdown.
//!
//! `monoio-http` decodes heads and chunks. This module adds limits on heads and bodies, streaming
//! of bodies of known length, and connections that are reused only after the whole response was
//! read.

mod account;
pub mod body;
pub mod budget;
pub mod chunks;
pub mod client;
mod collected;
pub mod gate;
pub mod limits;
pub mod pool;
mod reader;
pub mod server;
mod turn;
mod writer;

/// The reason why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[error("{0} does not accept connections; check that the process runs there")]
    Connect(String),
    /// The host refused the connection because no process listens there; nothing was sent.
    #[error("nothing listens at {0}; start the process or wait until it is back")]
    Refused(String),
    /// The peer closed the connection in the middle of a message.
    #[error("the peer closed the connection before the message was complete; retry if idempotent")]
    Truncated,
    /// The message is not well-formed HTTP/1.1.
    #[error("the message is not well-formed HTTP/1.1 ({0}); correct the sender")]
    Malformed(String),
    /// The head is larger than the limit.
    #[error("the head exceeds {0} bytes; send fewer or shorter headers")]
    HeadTooLarge(usize),
    /// The body is larger than the limit.
    #[error("the body exceeds {0} bytes; send a smaller body")]
    BodyTooLarge(u64),
    /// The peer exceeded a time limit.
    #[error("the message did not arrive within its time limit; send it faster and without pauses")]
    Slow,
    /// No complete response arrived within the time limit of the call, in milliseconds.
    #[error("no answer within {0} ms; retry if idempotent")]
    Timeout(u128),
    /// The operating system reported an error on the connection.
    #[error("the connection broke ({0}); retry if idempotent")]
    Io(#[from] std::io::Error),
}

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;

impl From<monoio_http::h1::codec::decoder::DecodeError> for Error {
    fn from(error: monoio_http::h1::codec::decoder::DecodeError) -> Self {
        match error {
            monoio_http::h1::codec::decoder::DecodeError::Io(error) => Self::Io(error),
            other => Self::Malformed(other.to_string()),
        }
    }
}

impl From<monoio_http::common::error::HttpError> for Error {
    fn from(error: monoio_http::common::error::HttpError) -> Self {
        Self::Io(std::io::Error::other(error.to_string()))
    }
}

impl From<Error> for monoio_http::common::error::HttpError {
    fn from(error: Error) -> Self {
        Self::IOError(std::io::Error::other(error.to_string()))
    }
}

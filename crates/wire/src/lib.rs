//! Messages and transports between callers, entries, agents and workers.
//!
//! - [`proto`]: the messages and services between the processes, generated from
//!   `proto/shallotflow.proto`.
//! - [`rpc`]: `tonic` clients and servers on the single-threaded runtime of the process.
//! - [`header`]: names of the HTTP headers.
//! - [`http`]: HTTP/1.1 connections with limits, streamed bodies and graceful shutdown.
//! - [`control`]: messages of a worker's control interface.
//! - [`convert`]: conversions between messages and domain types.

pub mod control;
pub mod convert;
pub mod header;
pub mod http;
pub mod rpc;

/// Generated messages and services.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod proto {
    include!("generated/shallotflow.v1.rs");
}

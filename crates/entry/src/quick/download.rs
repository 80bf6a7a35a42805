//! A response body that is streamed to the caller.

use super::in_flight::InFlight;
use super::ticket::Ticket;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_wire::http::body::{Body, Source};
use shallotflow_wire::http::client::Connection;
use shallotflow_wire::http::pool::Pool;
use shallotflow_wire::http::{Error, Result};
use std::net::SocketAddr;
use std::rc::Rc;

/// The body of a response, with the connection that it is read from.
///
/// The connection returns to the pool once the body was read to its end, and is closed otherwise.
/// At the deadline the response is truncated by an error, so that the caller sees that it is
/// incomplete.
pub(super) struct Download {
    pub(super) body: Body,
    pub(super) connection: Option<Connection>,
    pub(super) address: SocketAddr,
    pub(super) pool: Pool,
    pub(super) deadline: Time,
    pub(super) in_flight: Option<InFlight>,
    pub(super) ticket: Option<Rc<Ticket>>,
}

impl Download {
    async fn next_chunk(&mut self) -> Option<Result<Bytes>> {
        let remaining = self.deadline.left(Monotonic.now());
        let Ok(chunk) = monoio::time::timeout(remaining, self.body.next()).await else {
            return Some(Err(Error::Slow));
        };
        let ended = chunk.is_none() || self.body.length() == Some(0);
        if ended {
            self.release();
        }
        chunk
    }

    fn release(&mut self) {
        self.in_flight = None;
        self.ticket = None;
        if let Some(connection) = self.connection.take() {
            self.pool.give_back(self.address, connection);
        }
    }
}

impl Source for Download {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>> {
        Box::pin(self.next_chunk())
    }

    fn length(&self) -> Option<u64> {
        self.body.length()
    }
}

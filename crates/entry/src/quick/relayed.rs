//! An answer that is passed on while it is received.

use super::flight::Flight;
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

/// The body of an answer, with the connection that it comes from.
///
/// The connection is given back once the body was read to its end, and closed otherwise. At the
/// deadline the answer is broken off, so that the caller sees that it is not whole.
pub(super) struct Relayed {
    pub(super) body: Body,
    pub(super) connection: Option<Connection>,
    pub(super) address: SocketAddr,
    pub(super) pool: Pool,
    pub(super) deadline: Time,
    pub(super) flight: Option<Flight>,
    pub(super) ticket: Option<Rc<Ticket>>,
}

impl Relayed {
    async fn piece(&mut self) -> Option<Result<Bytes>> {
        let left = self.deadline.remaining(Monotonic.now());
        let Ok(piece) = monoio::time::timeout(left, self.body.next()).await else {
            return Some(Err(Error::Slow));
        };
        let ended = piece.is_none() || self.body.length() == Some(0);
        if ended {
            self.finish();
        }
        piece
    }

    fn finish(&mut self) {
        self.flight = None;
        self.ticket = None;
        if let Some(connection) = self.connection.take() {
            self.pool.give_back(self.address, connection);
        }
    }
}

impl Source for Relayed {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>> {
        Box::pin(self.piece())
    }

    fn length(&self) -> Option<u64> {
        self.body.length()
    }
}

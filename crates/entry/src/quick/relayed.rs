//! An answer that is passed on while it is received.

use super::flight::Flight;
use crate::state::State;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::{Body, Source};
use shallotflow_wire::http::client::Connection;
use std::net::SocketAddr;
use std::rc::Rc;

/// The body of an answer, with the connection that it comes from.
///
/// The connection is given back once the body was read to its end, and closed otherwise.
pub(super) struct Relayed {
    pub(super) state: Rc<State>,
    pub(super) body: Body,
    pub(super) connection: Option<Connection>,
    pub(super) address: SocketAddr,
    pub(super) flight: Option<Flight>,
}

impl Relayed {
    async fn piece(&mut self) -> Option<Result<Bytes>> {
        let piece = self.body.next().await;
        let ended = piece.is_none() || self.body.length() == Some(0);
        if ended {
            self.finish();
        }
        piece
    }

    fn finish(&mut self) {
        self.flight = None;
        if let Some(connection) = self.connection.take() {
            self.state.pool.give_back(self.address, connection);
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

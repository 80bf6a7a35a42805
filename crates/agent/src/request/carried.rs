//! Reservations of requests, tied to what is still in progress for them.

use super::head::Head;
use crate::agent::Agent;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::admission::Id;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::{Body, Source};
use shallotflow_wire::http::client::Connection;

/// A request that waits for its start; withdrawn when it is dropped.
pub(super) struct Waiting {
    agent: Agent,
    class: Class,
    deadline: Time,
    id: Option<Id>,
}

impl Waiting {
    pub(super) fn new(agent: &Agent, head: &Head, id: Id) -> Self {
        Self { agent: agent.clone(), class: head.class, deadline: head.deadline, id: Some(id) }
    }

    /// The request does not wait any more.
    pub(super) fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        if !self.agent.withdraw(self.class, id, self.deadline) {
            // It was started and nothing was sent for it.
            self.agent.release(id);
        }
    }
}

/// The reservation of a request that was started.
///
/// Dropped before the end of its work is known, it stays reserved until the worker confirms it.
pub(super) struct Reservation {
    agent: Agent,
    id: Option<Id>,
    name: Name,
}

impl Reservation {
    pub(super) fn new(agent: &Agent, id: Id, name: Name) -> Self {
        Self { agent: agent.clone(), id: Some(id), name }
    }

    /// Releases it: the work has ended, or was never sent.
    pub(super) fn release(mut self) {
        if let Some(id) = self.id.take() {
            self.agent.release(id);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.agent.doubt(id, self.name.clone());
        }
    }
}

/// A target's answer on its way to the entry.
pub(super) struct Carried {
    exchange: Option<Exchange>,
}

struct Exchange {
    body: Body,
    connection: Connection,
    reservation: Reservation,
}

impl Carried {
    pub(super) fn new(body: Body, connection: Connection, reservation: Reservation) -> Self {
        Self { exchange: Some(Exchange { body, connection, reservation }) }
    }
}

impl Source for Carried {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>> {
        Box::pin(async {
            let exchange = self.exchange.as_mut()?;
            let piece = exchange.body.next().await;
            match &piece {
                Some(Ok(_)) => {}
                // The reservation becomes a doubt.
                Some(Err(_)) => self.exchange = None,
                None => self.exchange.take()?.finish(),
            }
            piece
        })
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            // The entry is gone; the target still works and must be heard to its end.
            monoio::spawn(exchange.drain());
        }
    }
}

impl Exchange {
    fn finish(self) {
        let agent = self.reservation.agent.clone();
        agent.pool().give_back(agent.settings().target, self.connection);
        self.reservation.release();
    }

    async fn drain(mut self) {
        while let Some(piece) = self.body.next().await {
            if piece.is_err() {
                return;
            }
        }
        self.finish();
    }
}

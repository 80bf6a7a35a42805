//! Guards that tie the reservation of a request to its work in progress.

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

/// A queued request; dropping it withdraws the request.
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

    /// Keeps the request when this guard is dropped: it has started or was refused.
    pub(super) fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        if !self.agent.withdraw(self.class, id, self.deadline) {
            // It had started, but nothing was sent to the target.
            self.agent.release(id);
        }
    }
}

/// The reservation of a started request.
///
/// Dropping it before the work is known to have ended keeps the resources reserved until the
/// worker confirms the end.
pub(super) struct Reservation {
    agent: Agent,
    id: Option<Id>,
    name: Name,
}

impl Reservation {
    pub(super) fn new(agent: &Agent, id: Id, name: Name) -> Self {
        Self { agent: agent.clone(), id: Some(id), name }
    }

    /// Releases the resources: the work has ended, or was never sent.
    pub(super) fn release(mut self) {
        if let Some(id) = self.id.take() {
            self.agent.release(id);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.agent.add_unconfirmed(id, self.name.clone());
        }
    }
}

/// The body of an answer that is streamed from the target to the entry.
pub(super) struct AnswerBody {
    exchange: Option<Exchange>,
}

struct Exchange {
    body: Body,
    connection: Connection,
    reservation: Reservation,
}

impl AnswerBody {
    pub(super) fn new(body: Body, connection: Connection, reservation: Reservation) -> Self {
        Self { exchange: Some(Exchange { body, connection, reservation }) }
    }
}

impl Source for AnswerBody {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>> {
        Box::pin(async {
            let exchange = self.exchange.as_mut()?;
            let chunk = exchange.body.next().await;
            match &chunk {
                Some(Ok(_)) => {}
                // Dropping the exchange leaves the reservation unconfirmed.
                Some(Err(_)) => self.exchange = None,
                None => self.exchange.take()?.finish(),
            }
            chunk
        })
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            // The entry has gone, but the target still works: the slot is released once the answer
            // is read to the end.
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
        while let Some(chunk) = self.body.next().await {
            if chunk.is_err() {
                return;
            }
        }
        self.finish();
    }
}

use super::{Pace, Poll, Start, Stop};
use crate::agent::{self, Control, Error, Lists, Result};
use async_trait::async_trait;
use http::{Request, StatusCode};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::Lifetime;
use shallotflow_wire::control::Call;
use shallotflow_wire::http as transport;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::net::SocketAddr;
use std::time::Duration;

/// Limit of a connection attempt; worker and agent share a host.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Idle connections that are kept: a look that waits, and orders beside it.
const CONNECTIONS: usize = 4;
/// Largest answer, bytes; a list of 500 ends takes a tenth of it.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// The worker at one address.
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// The worker at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::new(Limits::default(), CONNECT_LIMIT, CONNECTIONS) }
    }

    /// Makes a call, which ends after `limit`.
    ///
    /// # Errors
    ///
    /// Every error but `Unknown` means that the call did nothing.
    pub async fn call<C: Call>(&self, call: &C, limit: Duration) -> Result<C::Reply> {
        let refused = |error: &dyn std::error::Error| Error::Refused(error.to_string());
        let body = serde_json::to_vec(call).map_err(|error| refused(&error))?;
        let request = Request::post(C::PATH)
            .body(Body::Full(body.into()))
            .map_err(|error| refused(&error))?;
        let exchange = self.pool.exchange(self.address, request, ANSWER_LIMIT);
        let late = |_| Error::Unknown(format!("no answer within {} ms", limit.as_millis()));
        let answer = monoio::time::timeout(limit, exchange).await.map_err(late)?;
        let answer = answer.map_err(|error| match error {
            transport::Error::Refused(_) => Error::Vacant,
            transport::Error::Connect(_) => Error::Unreachable,
            lost => Error::Unknown(lost.to_string()),
        })?;
        let (status, body) = (answer.status(), answer.into_body());
        let unreadable = |error: serde_json::Error| {
            Error::Unknown(format!("status {status}, the answer cannot be read: {error}"))
        };
        if status == StatusCode::OK {
            return serde_json::from_slice(&body).map_err(unreadable);
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(unreadable))
    }
}

#[async_trait(?Send)]
impl Control for Client {
    async fn start(
        &self,
        incarnation: &Lifetime,
        start: &agent::Start,
        limit: Duration,
    ) -> Result<u64> {
        let call = Start { incarnation: incarnation.clone(), start: start.clone() };
        Ok(self.call(&call, limit).await?.clock_ms)
    }

    async fn stop(
        &self,
        incarnation: &Lifetime,
        task: Task,
        run: u32,
        epoch: u64,
        limit: Duration,
    ) -> Result<u64> {
        let call = Stop { incarnation: incarnation.clone(), task, run, epoch };
        Ok(self.call(&call, limit).await?.clock_ms)
    }

    async fn pace(
        &self,
        incarnation: &Lifetime,
        task: Task,
        run: u32,
        percent: u8,
        epoch: u64,
        limit: Duration,
    ) -> Result<u64> {
        let call = Pace { incarnation: incarnation.clone(), task, run, percent, epoch };
        Ok(self.call(&call, limit).await?.clock_ms)
    }

    async fn poll(
        &self,
        incarnation: Option<&Lifetime>,
        lease_ms: Option<u64>,
        recorded: u64,
        epoch: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<Lists> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(0);
        let call = Poll { incarnation: incarnation.cloned(), lease_ms, recorded, epoch, wait_ms };
        self.call(&call, limit).await
    }
}

use super::{Pace, Poll, Start, Stop};
use crate::agent::{self, Control, Error, Lists, Result};
use async_trait::async_trait;
use http::{Request, StatusCode};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::Fence;
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;
use shallotflow_wire::http as transport;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a connection attempt; worker and agent share a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of idle connections: one for a waiting poll, the others for orders.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum size of an answer, in bytes; a list of 500 ends takes a tenth of it.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A client of one worker. Its calls name the incarnation that they are meant for, so the epoch is fence enough.
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Creates a client of the worker at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::new(Limits::default(), CONNECT_TIMEOUT, MAX_IDLE_CONNECTIONS) }
    }

    /// Makes a call that fails after `timeout`.
    ///
    /// # Errors
    ///
    /// Every error except `Unknown` means that the call had no effect.
    pub async fn call<C: Call>(&self, call: &C, timeout: Duration) -> Result<C::Reply> {
        let refused = |error: &dyn std::error::Error| Error::Refused(error.to_string());
        let body = serde_json::to_vec(call).map_err(|error| refused(&error))?;
        let request = Request::post(C::PATH)
            .body(Body::Full(body.into()))
            .map_err(|error| refused(&error))?;
        let exchange = self.pool.exchange_within(timeout, self.address, request, MAX_ANSWER_BYTES);
        let answer = exchange.await;
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
        incarnation: &Incarnation,
        start: &agent::Start,
        fence: Fence,
        timeout: Duration,
    ) -> Result<u64> {
        let start = agent::Start { epoch: fence.epoch(), ..start.clone() };
        let call = Start { incarnation: incarnation.clone(), start };
        Ok(self.call(&call, timeout).await?.clock_ms)
    }

    async fn stop(
        &self,
        incarnation: &Incarnation,
        task: Task,
        run: u32,
        fence: Fence,
        timeout: Duration,
    ) -> Result<u64> {
        let call = Stop { incarnation: incarnation.clone(), task, run, epoch: fence.epoch() };
        Ok(self.call(&call, timeout).await?.clock_ms)
    }

    async fn pace(
        &self,
        incarnation: &Incarnation,
        task: Task,
        run: u32,
        percent: u8,
        fence: Fence,
        timeout: Duration,
    ) -> Result<u64> {
        let call =
            Pace { incarnation: incarnation.clone(), task, run, percent, epoch: fence.epoch() };
        Ok(self.call(&call, timeout).await?.clock_ms)
    }

    async fn poll(
        &self,
        incarnation: Option<&Incarnation>,
        lease_ms: Option<u64>,
        recorded: u64,
        fence: Fence,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Lists> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(0);
        let epoch = fence.epoch();
        let call = Poll { incarnation: incarnation.cloned(), lease_ms, recorded, epoch, wait_ms };
        self.call(&call, timeout).await
    }
}

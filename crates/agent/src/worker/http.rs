//! HTTP client of the worker's control interface.

use super::{Control, Error, Result};
use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use shallotflow_wire::control::{
    Acknowledge, Attach, Attached, Call, Done, Fault, List, Listing, Renew, Samples, Start, Stop,
    Stopped, Throttle, Usage,
};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_CONNECTIONS: usize = 4;
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A client of one worker's control interface.
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Creates a client of the control interface at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::new(Limits::default(), CONNECT_TIMEOUT, IDLE_CONNECTIONS) }
    }

    async fn send<C: Call>(&self, call: C, wait: Duration) -> Result<C::Reply> {
        let unreachable = |error: &dyn std::error::Error| Error::Unreachable(error.to_string());
        let text = serde_json::to_vec(&call).map_err(|error| unreachable(&error))?;
        let request = Request::post(C::PATH)
            .body(Body::Full(text.into()))
            .map_err(|error| unreachable(&error))?;
        let limit = ANSWER_TIMEOUT + wait;
        let exchange = self.pool.exchange_within(limit, self.address, request, MAX_ANSWER_BYTES);
        let answer = exchange.await;
        let answer = answer.map_err(|error| match Pool::not_sent(&error) {
            true => Error::Unreachable(error.to_string()),
            false => Error::NoAnswer(error.to_string()),
        })?;
        let (status, body) = (answer.status(), answer.into_body());
        if status == StatusCode::OK {
            let invalid = |error: serde_json::Error| Error::NoAnswer(error.to_string());
            return serde_json::from_slice(&body).map_err(invalid);
        }
        match serde_json::from_slice::<Fault>(&body) {
            Ok(fault) => Err(Error::Refused(fault)),
            Err(_) => Err(Error::NoAnswer(format!("status {status}"))),
        }
    }
}

impl Control for Client {
    fn attach(&self, call: Attach) -> LocalBoxFuture<'_, Result<Attached>> {
        Box::pin(self.send(call, Duration::ZERO))
    }

    fn start(&self, call: Start) -> LocalBoxFuture<'_, Result<Done>> {
        Box::pin(self.send(call, Duration::ZERO))
    }

    fn renew(&self, call: Renew) -> LocalBoxFuture<'_, Result<Done>> {
        Box::pin(self.send(call, Duration::ZERO))
    }

    fn throttle(&self, call: Throttle) -> LocalBoxFuture<'_, Result<Done>> {
        Box::pin(self.send(call, Duration::ZERO))
    }

    fn stop(&self, call: Stop) -> LocalBoxFuture<'_, Result<Stopped>> {
        Box::pin(self.send(call, Duration::ZERO))
    }

    fn acknowledge(&self, call: Acknowledge) -> LocalBoxFuture<'_, Result<Done>> {
        Box::pin(self.send(call, Duration::ZERO))
    }

    fn list(&self, call: List) -> LocalBoxFuture<'_, Result<Listing>> {
        let wait = Duration::from_millis(call.wait_ms);
        Box::pin(self.send(call, wait))
    }

    fn usage(&self, call: Usage) -> LocalBoxFuture<'_, Result<Samples>> {
        Box::pin(self.send(call, Duration::ZERO))
    }
}

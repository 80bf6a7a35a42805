//! The HTTP client of the load generator.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use monoio::time::timeout;
use shallotflow_core::outcome::Outcome;
use shallotflow_wire::http::Error;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::net::SocketAddr;
use std::time::Duration;

/// The header that carries the outcome of a request.
pub const OUTCOME_HEADER: &str = "shallotflow-outcome";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTIONS: usize = 512;
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Number of distinct caller names in the load.
const CALLERS: u64 = 24;

/// Returns the caller that sends the request with this number.
pub fn caller(number: u64) -> String {
    format!("caller-{}", number % CALLERS)
}

/// The complete answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// The outcome that the system reported for the request.
    pub fn outcome(&self) -> Outcome {
        let header = self.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
        match header.and_then(Outcome::parse) {
            Some(outcome) => outcome,
            None if self.status.is_success() => Outcome::Done,
            None => Outcome::Unknown,
        }
    }
}

/// The reason for a missing answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made; nothing was sent.
    NotSent,
    /// The connection failed or timed out after the request may have been sent.
    Lost,
}

impl Failure {
    /// The outcome of the request.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent => Outcome::NotRun,
            Self::Lost => Outcome::Unknown,
        }
    }
}

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Failure>;

/// Sends requests to one address over pooled connections; clones share the pool.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

impl Client {
    /// A client of the process at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let limits = Limits {
            stall: Duration::from_secs(3_600),
            head: Duration::from_secs(3_600),
            ..Limits::default()
        };
        Self { pool: Pool::new(limits, CONNECT_TIMEOUT, IDLE_CONNECTIONS), address }
    }

    /// Sends `request` and reads the complete answer within `limit`.
    ///
    /// # Errors
    ///
    /// [`Failure`] shows whether the request may have been received.
    pub async fn send(&self, request: Request<Body>, limit: Duration) -> Result<Answer> {
        // A connection that is dropped in the middle of an exchange is closed, never reused.
        timeout(limit, self.exchange(request)).await.unwrap_or(Err(Failure::Lost))
    }

    async fn exchange(&self, request: Request<Body>) -> Result<Answer> {
        let answer = self.pool.exchange(self.address, request, MAX_ANSWER_BYTES).await;
        let (head, body) = answer.map_err(failure)?.into_parts();
        Ok(Answer { status: head.status, headers: head.headers, body })
    }
}

fn failure(error: Error) -> Failure {
    if Pool::not_sent(&error) { Failure::NotSent } else { Failure::Lost }
}

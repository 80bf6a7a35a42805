//! One HTTP exchange.

use crate::error::{Error, Result};
use http::{Request, StatusCode};
use serde::de::DeserializeOwned;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::client::Connection;
use shallotflow_wire::http::limits::Limits;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const LARGEST_ANSWER: usize = 256 * 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Who answered.
    pub address: SocketAddr,
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not what was expected.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unreachable {
            address: self.address.to_string(),
            detail: format!(
                "answers {} with a body that is not understood ({error}); check the address",
                self.status
            ),
        })
    }
}

/// Sends `request` to `address` and reads the whole answer.
///
/// # Errors
///
/// Fails when nobody answers in time; the request may have been received then.
pub async fn send(address: SocketAddr, request: Request<Body>) -> Result<Reply> {
    let exchange = async {
        let limits = Rc::new(Limits { body_bytes: LARGEST_ANSWER as u64, ..Limits::default() });
        let mut connection = Connection::open(address, limits, CONNECT_TIMEOUT).await?;
        let response = connection.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect(LARGEST_ANSWER).await?;
        Ok(Reply { address, status, body: body.to_vec() })
    };
    let failed = |detail| Error::Unreachable { address: address.to_string(), detail };
    match monoio::time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(error)) => Err(broken(address, &error)),
        Err(_) => Err(failed(format!(
            "did not answer within {} s; check its load and its log",
            ANSWER_TIMEOUT.as_secs()
        ))),
    }
}

fn broken(address: SocketAddr, error: &shallotflow_wire::http::Error) -> Error {
    Error::Unreachable { address: address.to_string(), detail: format!("failed: {error}") }
}

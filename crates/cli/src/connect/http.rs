//! HTTP requests.

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
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The address of the server.
    pub address: SocketAddr,
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unreachable {
            address: self.address.to_string(),
            detail: format!(
                "answers {} with an unexpected body ({error}); check the address",
                self.status
            ),
        })
    }
}

/// Sends `request` to `address` and reads the complete response.
///
/// # Errors
///
/// Fails if there is no response within the timeout; the server may still have received the
/// request.
pub async fn send(address: SocketAddr, request: Request<Body>) -> Result<Response> {
    let exchange = async {
        let limits = Rc::new(Limits { body_bytes: MAX_RESPONSE_BYTES as u64, ..Limits::default() });
        let mut connection = Connection::open(address, limits, CONNECT_TIMEOUT).await?;
        let response = connection.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect(MAX_RESPONSE_BYTES).await?;
        Ok(Response { address, status, body: body.to_vec() })
    };
    let unreachable = |detail| Error::Unreachable { address: address.to_string(), detail };
    match monoio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(exchange_error(address, &error)),
        Err(_) => Err(unreachable(format!(
            "did not answer within {} s; check its load and its log",
            RESPONSE_TIMEOUT.as_secs()
        ))),
    }
}

fn exchange_error(address: SocketAddr, error: &shallotflow_wire::http::Error) -> Error {
    Error::Unreachable { address: address.to_string(), detail: format!("failed: {error}") }
}

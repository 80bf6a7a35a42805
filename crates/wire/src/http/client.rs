//! Client connections that send HTTP/1.1 requests.

use super::body::{Body, Incoming, Slot, response_framing};
use super::limits::Limits;
use super::reader::Reader;
use super::server::requests_close;
use super::writer::Writer;
use super::{Error, Result};
use http::{Request, Response, response};
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for a response on a connection whose peer no longer accepts the request.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A client connection that carries one exchange at a time.
pub struct Connection {
    reader: Slot,
    writer: Writer,
    limits: Rc<Limits>,
}

impl Connection {
    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] or [`Error::Refused`] if no connection could be made.
    pub async fn open(address: SocketAddr, limits: Rc<Limits>, limit: Duration) -> Result<Self> {
        let connect_error = |error: std::io::Error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Error::Refused(address.to_string()),
            _ => Error::Connect(address.to_string()),
        };
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| Error::Connect(address.to_string()))?
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let (read, write) = stream.into_split();
        let reader = Reader::new(read, limits.clone());
        let reader = Rc::new(std::cell::RefCell::new(Some(reader)));
        Ok(Self { reader, writer: Writer::new(write, limits.stall), limits })
    }

    /// Sends a request and reads the head of its response.
    ///
    /// The connection can be reused once the body of the response was read to its end.
    ///
    /// # Errors
    ///
    /// Fails if the exchange breaks off; the peer may or may not have received the request then.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>> {
        let Some(mut reader) = self.reader.borrow_mut().take() else {
            return Err(Error::Truncated);
        };
        let (head, mut body) = request.into_parts();
        let written = self.writer.request(&head, &mut body).await;
        let response = match &written {
            Ok(()) => self.head(&mut reader).await?,
            // A peer that refuses a request may respond and close before it has read the whole body.
            Err(Error::Io(_)) => {
                let early = timeout(EARLY_RESPONSE_TIMEOUT, self.head(&mut reader)).await;
                let Ok(Ok(response)) = early else { return Err(written.unwrap_err()) };
                response
            }
            Err(_) => return Err(written.unwrap_err()),
        };
        let limit = self.limits.body_bytes;
        let framing = response_framing(&head.method, response.status, &response.headers, limit)?;
        let reusable = written.is_ok() && !requests_close(&response.headers);
        let slot = if reusable { self.reader.clone() } else { Slot::default() };
        let body = Body::Incoming(Incoming::new(reader, framing, slot));
        Ok(Response::from_parts(response, body))
    }

    /// Reads response heads until the first one that is not informational.
    async fn head(&self, reader: &mut Reader) -> Result<response::Parts> {
        loop {
            if !reader.wait_first_byte().await? {
                return Err(Error::Truncated);
            }
            let response = reader.head(ResponseHeadDecoder, self.limits.head).await?;
            if !response.status.is_informational() {
                return Ok(response);
            }
        }
    }

    /// Whether the last response was read to its end and no further bytes were received.
    pub fn is_reusable(&self) -> bool {
        self.reader.borrow().as_ref().is_some_and(|reader| !reader.has_buffered_bytes())
    }

    /// Whether the peer has closed the connection or sent unexpected bytes.
    pub fn is_stale(&mut self) -> bool {
        self.reader.borrow_mut().as_mut().is_none_or(|reader| !reader.is_idle())
    }
}

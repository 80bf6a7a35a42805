//! Serves HTTP/1.1 on a listener.

use super::body::{Body, Incoming, Slot, request_framing};
use super::gate::Gate;
use super::limits::Limits;
use super::reader::Reader;
use super::writer::Writer;
use super::{Error, Result};
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, EXPECT};
use http::{HeaderMap, Method, Request, Response, StatusCode, Version, request};
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection stays readable after its last answer, so that the peer gets all of it.
const LINGER: Duration = Duration::from_millis(200);
/// Bytes of an unread body that are read away before a connection is given up.
const DISCARD_BYTES: usize = 256 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// What answers requests.
pub trait Handler {
    /// Answers a request from `peer`.
    fn call(
        &self,
        request: Request<Body>,
        peer: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>>;

    /// Answers a request that could not be read.
    fn refuse(&self, error: &Error) -> Response<Body> {
        let status = match error {
            Error::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Error::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Slow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        };
        let mut response = Response::new(Body::from(error.to_string()));
        *response.status_mut() = status;
        response
    }

    /// Answers a connection beyond the limit on connections.
    fn overloaded(&self) -> Response<Body> {
        let mut response = Response::new(Body::from("too many connections; retry later"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

/// Accepts connections until the gate drains; open ones finish their exchange and close.
pub async fn serve(listener: TcpListener, handler: Rc<dyn Handler>, limits: Limits, gate: Gate) {
    let limits = Rc::new(limits);
    let accepting = async {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                // Out of descriptors, for instance; pause instead of spinning.
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            monoio::spawn(connection(stream, peer, handler.clone(), limits.clone(), gate.clone()));
        }
    };
    monoio::select! {
        () = gate.wait_draining() => {}
        () = accepting => {}
    }
}

async fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<dyn Handler>,
    limits: Rc<Limits>,
    gate: Gate,
) {
    let _pass = gate.connect();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let mut writer = Writer::new(write, limits.stall);
    let mut reader = Reader::new(read, limits.clone());
    if gate.connections() > limits.connections {
        let (head, mut body) = handler.overloaded().into_parts();
        let _ = writer.response(&head, &mut body, false, true).await;
        return writer.close().await;
    }
    let exchanges = async {
        while let Ok(Some(next)) =
            exchange(reader, &mut writer, peer, &*handler, &limits, &gate).await
        {
            reader = next;
        }
        writer.close().await;
    };
    monoio::select! {
        () = gate.wait_aborted() => {}
        () = exchanges => {}
    }
}

/// Serves one request; gives the reader back when the connection can be reused.
async fn exchange(
    mut reader: Reader,
    writer: &mut Writer,
    peer: SocketAddr,
    handler: &dyn Handler,
    limits: &Limits,
    gate: &Gate,
) -> Result<Option<Reader>> {
    if !wait_request(&mut reader, limits, gate).await? {
        return Ok(None);
    }
    let _pass = gate.enter();
    let read = reader.head(RequestHeadDecoder, limits.head).await;
    let (head, framing) = match read.and_then(|head| check(head, limits)) {
        Ok(parts) => parts,
        Err(error) => {
            refuse(writer, handler, &error).await?;
            discard(&mut reader).await;
            return Ok(None);
        }
    };
    if expects_invitation(&head) {
        writer.invite().await?;
    }
    let keep = keeps_alive(&head);
    let bodiless = head.method == Method::HEAD;
    let slot = Slot::default();
    let body = Body::Incoming(Incoming::new(reader, framing, slot.clone()));
    let (head, mut body) = handler.call(Request::from_parts(head, body), peer).await.into_parts();
    // A body that was dropped before its end took the reader with it.
    let abandoned = slot.borrow().is_none() && Rc::strong_count(&slot) == 1;
    let close = !keep || gate.is_draining() || abandoned || asks_close(&head.headers);
    writer.response(&head, &mut body, bodiless, close).await?;
    Ok(slot.borrow_mut().take().filter(|_| !close))
}

/// Waits for the next request; `false` when the connection should close instead.
async fn wait_request(reader: &mut Reader, limits: &Limits, gate: &Gate) -> Result<bool> {
    let waiting = timeout(limits.idle, reader.wait_first_byte());
    let first = monoio::select! {
        first = waiting => Some(first),
        () = gate.wait_draining() => None,
    };
    let first = match first {
        Some(first) => first,
        // A request may be on its way: an idle connection stays open for a moment.
        None => timeout(LINGER, reader.wait_first_byte()).await,
    };
    first.unwrap_or(Ok(false))
}

fn check(
    head: request::Parts,
    limits: &Limits,
) -> Result<(request::Parts, super::reader::Framing)> {
    let framing = request_framing(&head.headers, limits.body_bytes)?;
    Ok((head, framing))
}

async fn refuse(writer: &mut Writer, handler: &dyn Handler, error: &Error) -> Result<()> {
    if matches!(error, Error::Truncated | Error::Io(_)) {
        return Ok(());
    }
    let (head, mut body) = handler.refuse(error).into_parts();
    writer.response(&head, &mut body, false, true).await
}

/// Reads away what the peer still sends, so that it sees the answer and not a reset.
async fn discard(reader: &mut Reader) {
    let mut left = super::reader::Framing::Length(DISCARD_BYTES as u64);
    let reading = async { while let Ok(Some(_)) = reader.body(&mut left).await {} };
    // A peer that keeps sending is cut off.
    let _ = timeout(LINGER, reading).await;
}

fn expects_invitation(head: &request::Parts) -> bool {
    head.headers.get(EXPECT).is_some_and(|value| value.as_bytes() == b"100-continue")
}

fn keeps_alive(head: &request::Parts) -> bool {
    head.version == Version::HTTP_11 && !asks_close(&head.headers)
}

pub(super) fn asks_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

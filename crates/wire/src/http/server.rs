//! Serves HTTP/1.1 on a listener.

use super::account::{Account, wait_evicted};
use super::body::{Body, Incoming, Slot, request_framing};
use super::budget::Budget;
use super::gate::{Gate, Guard};
use super::limits::Limits;
use super::reader::Reader;
use super::turn::yield_turn;
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

/// How long a connection is still read before it closes, so that the peer receives the whole last
/// response and a request already on its way is served.
const LINGER: Duration = Duration::from_millis(200);
/// Maximum bytes of a refused request's body that are discarded before the connection closes.
const DISCARD_BYTES: usize = 256 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Answers the requests of a server.
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

    /// Answers a connection that exceeds the limit on connections.
    fn overloaded(&self) -> Response<Body> {
        let mut response = Response::new(Body::from("too many connections; retry later"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

/// Accepts connections until `gate` drains; open connections then finish their exchange and close.
///
/// The listener has a budget of its own; see [`serve_within`].
pub async fn serve(listener: TcpListener, handler: Rc<dyn Handler>, limits: Limits, gate: Gate) {
    let budget = Budget::new(limits.held_bytes);
    serve_within(listener, handler, limits, gate, budget).await;
}

/// Like [`serve`], with the budget that all listeners of the process share.
pub async fn serve_within(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    limits: Limits,
    gate: Gate,
    budget: Budget,
) {
    let limits = Rc::new(limits);
    let number = budget.add_listener();
    let accepting = async {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                // For example out of file descriptors: waits instead of retrying in a busy loop.
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // A crowd at the limit must not keep newcomers out.
            let full = gate.connections() >= limits.connections;
            let is_refused = full && !budget.replace_connection(number);
            let connection = Connection {
                stream,
                peer,
                handler: handler.clone(),
                limits: limits.clone(),
                gate: gate.clone(),
                guard: gate.add_connection(),
                account: (!is_refused).then(|| budget.open(number)),
            };
            monoio::spawn(connection.run());
            if full {
                // The one that was replaced has to close first.
                yield_turn().await;
            }
        }
    };
    monoio::select! {
        () = gate.wait_draining() => {}
        () = accepting => {}
    }
}

/// A connection that was accepted.
struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<dyn Handler>,
    limits: Rc<Limits>,
    gate: Gate,
    guard: Guard,
    /// What it holds; `None` if it exceeds the limit on connections.
    account: Option<Account>,
}

impl Connection {
    /// Serves requests until the connection closes.
    async fn run(self) {
        let Self { stream, peer, handler, limits, gate, guard: _guard, account } = self;
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (read, write) = stream.into_split();
        let mut writer = Writer::new(write, limits.stall);
        let reader = Reader::new(read, limits.clone());
        let Some(account) = account else {
            let (head, mut body) = handler.overloaded().into_parts();
            let _ = writer.response(&head, &mut body, false, true).await;
            return writer.close().await;
        };
        let evicted = wait_evicted(account.state());
        let mut reader = reader.with_account(account);
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
            () = evicted => {}
            () = exchanges => {}
        }
    }
}

/// Serves one request; returns the reader if the connection can be reused.
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
    let _guard = gate.begin_exchange();
    let read = reader.head(RequestHeadDecoder, limits.head).await;
    let (head, framing) = match read.and_then(|head| with_framing(head, limits)) {
        Ok(parts) => parts,
        Err(error) => {
            refuse(writer, handler, &error).await?;
            discard(&mut reader).await;
            return Ok(None);
        }
    };
    if expects_continue(&head) {
        writer.write_continue().await?;
    }
    let keep_alive = keeps_alive(&head);
    let skip_body = head.method == Method::HEAD;
    reader.begin_body();
    let slot = Slot::default();
    let body = Body::Incoming(Incoming::new(reader, framing, slot.clone()));
    let (head, mut body) = handler.call(Request::from_parts(head, body), peer).await.into_parts();
    // A request body that was dropped before its end dropped the reader as well.
    let abandoned = slot.borrow().is_none() && Rc::strong_count(&slot) == 1;
    let close = !keep_alive || gate.is_draining() || abandoned || requests_close(&head.headers);
    writer.response(&head, &mut body, skip_body, close).await?;
    let mut next = slot.borrow_mut().take().filter(|_| !close);
    if let Some(reader) = &mut next {
        reader.release();
    }
    Ok(next)
}

/// Waits for the next request; returns `false` if the connection should close instead.
async fn wait_request(reader: &mut Reader, limits: &Limits, gate: &Gate) -> Result<bool> {
    let waiting = timeout(limits.idle, reader.wait_first_byte());
    let first = monoio::select! {
        first = waiting => Some(first),
        () = gate.wait_draining() => None,
    };
    let first = match first {
        Some(first) => first,
        // A request may already be on its way, so an idle connection stays open a little longer.
        None => timeout(LINGER, reader.wait_first_byte()).await,
    };
    first.unwrap_or(Ok(false))
}

fn with_framing(
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

/// Discards what the peer still sends, so that the peer receives the response instead of a
/// connection reset.
async fn discard(reader: &mut Reader) {
    let mut framing = super::reader::Framing::Length(DISCARD_BYTES as u64);
    let reading = async { while let Ok(Some(_)) = reader.body(&mut framing).await {} };
    // The timeout ends this for a peer that keeps sending.
    let _ = timeout(LINGER, reading).await;
}

fn expects_continue(head: &request::Parts) -> bool {
    head.headers.get(EXPECT).is_some_and(|value| value.as_bytes() == b"100-continue")
}

fn keeps_alive(head: &request::Parts) -> bool {
    head.version == Version::HTTP_11 && !requests_close(&head.headers)
}

pub(super) fn requests_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

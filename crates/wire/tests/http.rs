//! Tests of HTTP connections: bodies, limits, reuse and graceful shutdown.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use shallotflow_wire::http::Error;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use shallotflow_wire::http::server::{Handler, serve};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// More than the operating system buffers on a connection.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
/// Stall timeout; short, so that a peer that reads nothing is disconnected soon.
const STALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Answers each request with the body of the request, and `/large` with `LARGE_BYTES` bytes.
struct Echo;

impl Handler for Echo {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        if request.uri().path() == "/large" {
            let large = Bytes::from(vec![b'x'; LARGE_BYTES]);
            return Box::pin(async move { Response::new(Body::Full(large)) });
        }
        Box::pin(async move { Response::new(request.into_body()) })
    }
}

fn run(test: impl AsyncFnOnce(SocketAddr, Gate)) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let gate = Gate::default();
        let limits = Limits {
            body_bytes: 200_000,
            head_bytes: 4_096,
            stall: STALL_TIMEOUT,
            ..Limits::default()
        };
        monoio::spawn(serve(listener, Rc::new(Echo), limits, gate.clone()));
        test(address, gate).await;
    });
}

fn pool() -> Pool {
    Pool::new(Limits::default(), CONNECT_TIMEOUT, 4)
}

/// Answers each request, until its open connections go silent; later ones work.
#[derive(Default)]
struct Silencing {
    open: RefCell<BTreeSet<SocketAddr>>,
    silent: RefCell<BTreeSet<SocketAddr>>,
}

impl Handler for Silencing {
    fn call(&self, _: Request<Body>, peer: SocketAddr) -> LocalBoxFuture<'static, Response<Body>> {
        if self.silent.borrow().contains(&peer) {
            return Box::pin(std::future::pending());
        }
        self.open.borrow_mut().insert(peer);
        Box::pin(async { Response::new(Body::from("answer")) })
    }
}

/// Sends `message` and returns the first 12 bytes of the response.
async fn send_raw(address: SocketAddr, message: &'static [u8]) -> String {
    use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(message).await.0.expect("a sent message");
    let (result, response) = stream.read_exact(vec![0_u8; 12]).await;
    result.expect("a response");
    String::from_utf8(response).expect("an ASCII status line")
}

#[test]
fn echoes_bodies_of_every_size_on_one_connection() {
    run(async |address, _| {
        let pool = pool();
        for size in [0, 1, 1_000, 40_000, 150_000] {
            let sent = Bytes::from(vec![b'x'; size]);
            let mut connection = pool.take(address).await.expect("a connection");
            let request = Request::post("/").body(Body::Full(sent.clone())).expect("a request");
            let response = connection.send(request).await.expect("a response");
            let received = response.into_body().collect(200_000).await.expect("a whole body");
            assert_eq!(received, sent);
            pool.give_back(address, connection);
            assert_eq!(pool.idle(), 1);
        }
    });
}

#[test]
fn a_connection_with_an_unread_response_is_not_reused() {
    run(async |address, _| {
        let pool = pool();
        let mut connection = pool.take(address).await.expect("a connection");
        let body = Body::Full(Bytes::from(vec![b'x'; 100_000]));
        let request = Request::post("/").body(body).expect("a request");
        let response = connection.send(request).await.expect("a response");
        drop(response);
        pool.give_back(address, connection);
        assert_eq!(pool.idle(), 0);
    });
}

#[test]
fn a_connection_that_the_peer_closed_is_not_reused() {
    run(async |address, gate| {
        let pool = pool();
        let mut connection = pool.take(address).await.expect("a connection");
        let request = Request::post("/").body(Body::from("first")).expect("a request");
        let response = connection.send(request).await.expect("a response");
        response.into_body().collect(100).await.expect("a body");
        assert!(!connection.is_stale());
        gate.drain();
        gate.wait_closed().await;
        // The runtime sees that the peer closed only when it next polls the system for events.
        while !connection.is_stale() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// All connections to a peer may go silent at once, without a reset. One call notices it; the calls
/// after it must not notice it anew on each of the other idle connections.
#[test]
fn idle_connections_are_not_reused_after_a_call_timed_out_on_one_of_them() {
    run(async |_, _| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let peer = Rc::new(Silencing::default());
        monoio::spawn(serve(listener, peer.clone(), Limits::default(), Gate::default()));
        let pool = pool();
        let call = |timeout| pool.exchange_within(timeout, address, Request::new(Body::Empty), 100);
        let answers = futures_util::future::join_all((0..4).map(|_| call(CONNECT_TIMEOUT))).await;
        assert!(answers.iter().all(Result::is_ok));
        assert_eq!(pool.idle(), 4);
        peer.silent.borrow_mut().append(&mut peer.open.borrow_mut());
        let silent = call(Duration::from_millis(20)).await;
        assert!(matches!(silent, Err(Error::Timeout(20))), "{silent:?}");
        let answer = call(CONNECT_TIMEOUT).await.expect("an answer on a new connection");
        assert_eq!(answer.into_body(), "answer");
    });
}

#[test]
fn a_peer_that_reads_no_response_is_disconnected() {
    run(async |address, gate| {
        use monoio::io::AsyncWriteRentExt;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET /large HTTP/1.1\r\n\r\n";
        stream.write_all(&request[..]).await.0.expect("a sent message");
        // The peer never reads, and the response exceeds the buffers of the system.
        gate.drain();
        gate.wait_closed().await;
    });
}

#[test]
fn refuses_a_body_over_the_limit_before_reading_it() {
    run(async |address, _| {
        let response =
            send_raw(address, b"POST / HTTP/1.1\r\ncontent-length: 200001\r\n\r\n").await;
        assert_eq!(response, "HTTP/1.1 413");
    });
}

#[test]
fn refuses_conflicting_lengths() {
    run(async |address, _| {
        let both = b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n";
        assert_eq!(send_raw(address, both).await, "HTTP/1.1 400");
        let twice = b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n";
        assert_eq!(send_raw(address, twice).await, "HTTP/1.1 400");
    });
}

#[test]
fn refuses_a_head_over_the_limit() {
    run(async |address, _| {
        let pool = pool();
        let mut connection = pool.take(address).await.expect("a connection");
        let request = Request::get("/").header("x-large", "x".repeat(8_000));
        let request = request.body(Body::Empty).expect("a request");
        let response = connection.send(request).await.expect("a response");
        assert_eq!(response.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    });
}

#[test]
fn draining_finishes_the_exchange_and_closes() {
    run(async |address, gate| {
        let pool = pool();
        let mut connection = pool.take(address).await.expect("a connection");
        let request = Request::post("/").body(Body::from("first")).expect("a request");
        let response = connection.send(request).await.expect("a response");
        assert_eq!(response.into_body().collect(100).await.expect("a body"), "first");
        gate.drain();
        let request = Request::post("/").body(Body::from("second")).expect("a request");
        let response =
            connection.send(request).await.expect("a response to a request sent while draining");
        assert_eq!(response.into_body().collect(100).await.expect("a body"), "second");
        assert!(!connection.is_reusable());
        gate.wait_closed().await;
    });
}

#[test]
fn aborting_closes_connections_and_the_listener() {
    run(async |address, gate| {
        let pool = pool();
        let mut connection = pool.take(address).await.expect("a connection");
        let request = Request::post("/").body(Body::from("first")).expect("a request");
        let response = connection.send(request).await.expect("a response");
        assert_eq!(response.into_body().collect(100).await.expect("a body"), "first");
        gate.abort();
        gate.wait_closed().await;
        assert!(connection.is_stale());
        assert!(pool.take(address).await.is_err());
    });
}

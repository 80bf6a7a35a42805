//! The budget of a process: which connections close when it is used up.

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use monoio::net::TcpListener;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::budget::Budget;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::server::{Handler, serve_within};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Chunks of a body. The last one is small enough to arrive together with the end of the body.
const CHUNK_BYTES: [usize; 2] = [9_000, 700];
/// Only ends a test that hangs.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// Counts the bodies that it has received whole, and answers after a pause.
struct Counter(Rc<Cell<u32>>);

impl Handler for Counter {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let received = self.0.clone();
        Box::pin(async move {
            if request.into_body().collect(CHUNK_BYTES.iter().sum()).await.is_ok() {
                received.set(received.get() + 1);
            }
            monoio::time::sleep(Duration::from_millis(5)).await;
            Response::new(Body::from("done"))
        })
    }
}

/// Sends a request with a body in chunks, and returns whether it was answered.
fn is_answered(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(READ_LIMIT)).expect("a socket");
    let mut request = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n".to_owned();
    request.push_str("transfer-encoding: chunked\r\n\r\n");
    for size in CHUNK_BYTES {
        request.push_str(&format!("{size:x}\r\n{}\r\n", "x".repeat(size)));
    }
    request.push_str("0\r\n\r\n");
    // The connection may be closed before.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    // A connection that closes with unread bytes is reset.
    let _ = stream.read_to_end(&mut answer);
    answer.ends_with(b"done")
}

/// Guards against a request that is carried out although its connection was closed for memory, at whatever
/// byte the budget is used up.
#[test]
fn a_request_that_was_received_whole_is_answered() {
    for limit in (4_000..40_000).step_by(200) {
        let received = Rc::new(Cell::new(0));
        let handler = Rc::new(Counter(received.clone()));
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("a runtime");
        let answered = runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            let budget = Budget::new(limit);
            let gate = Gate::default();
            monoio::spawn(serve_within(listener, handler, Limits::default(), gate, budget));
            let caller = std::thread::spawn(move || is_answered(address));
            while !caller.is_finished() {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            caller.join().expect("a caller")
        });
        assert_eq!(u32::from(answered), received.get(), "budget of {limit} bytes");
    }
}

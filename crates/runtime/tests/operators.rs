//! Tests of the operators' listener, the logs and the metrics of programs.

use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use shallotflow_core::metric;
use shallotflow_runtime::executor;
use shallotflow_runtime::logs;
use shallotflow_runtime::operators::{Inspect, Listener, NotReady};
use shallotflow_runtime::program::Program;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// A program that is ready or not.
struct Ready(bool);

impl Inspect for Ready {
    fn ready(&self) -> Result<(), NotReady> {
        if self.0 { Ok(()) } else { Err(NotReady("no target is known".to_owned())) }
    }

    fn dump(&self) -> Value {
        json!({ "ready": self.0 })
    }
}

async fn send(address: SocketAddr, method: Method, path: &str) -> (StatusCode, String) {
    let pool = Pool::new(Limits::default(), CONNECT_TIMEOUT, 1);
    let mut connection = pool.take(address).await.expect("a connection");
    let request = Request::builder().method(method).uri(path).body(Body::Empty);
    let response = connection.send(request.expect("a request")).await.expect("a response");
    let status = response.status();
    let body = response.into_body().collect(1 << 20).await.expect("a body");
    (status, String::from_utf8(body.to_vec()).expect("text"))
}

/// Starts a listener on a runtime of the current thread and runs `test` against it.
fn serve(name: &'static str, ready: bool, test: impl AsyncFnOnce(SocketAddr, Stop) + Send) {
    executor::run(async {
        let program = Program::new("test", &name.into(), "info").expect("a program");
        let listener = Listener::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        let (address, stop) = (listener.address(), Stop::default());
        let inspect = Rc::new(Ready(ready));
        let serving = listener.serve(program.clone(), inspect, Limits::default(), stop.clone());
        monoio::spawn(serving);
        test(address, stop).await;
    })
    .expect("a runtime");
}

#[test]
fn readiness_follows_the_program_and_its_stop() {
    serve("unready", false, async |address, _| {
        let (status, body) = send(address, Method::GET, "/readyz").await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body, "not ready: no target is known\n");
        assert_eq!(send(address, Method::GET, "/healthz").await.0, StatusCode::OK);
    });
    serve("ready", true, async |address, stop| {
        assert_eq!(send(address, Method::GET, "/readyz").await.0, StatusCode::OK);
        stop.raise(Level::Graceful);
        let (status, body) = send(address, Method::GET, "/readyz").await;
        assert_eq!((status, &*body), (StatusCode::SERVICE_UNAVAILABLE, "not ready: leaving\n"));
    });
}

#[test]
fn serves_dumps_and_rejects_other_paths_and_methods() {
    serve("dump", true, async |address, _| {
        let (status, body) = send(address, Method::GET, "/dump").await;
        let dump: Value = serde_json::from_str(&body).expect("JSON");
        assert_eq!((status, dump), (StatusCode::OK, json!({ "ready": true })));
        assert_eq!(send(address, Method::POST, "/dump").await.0, StatusCode::METHOD_NOT_ALLOWED);
        assert_eq!(send(address, Method::GET, "/other").await.0, StatusCode::NOT_FOUND);
    });
}

#[test]
fn the_log_filter_is_replaced_only_by_a_valid_one() {
    serve("filter", true, async |address, _| {
        let (status, body) = send(address, Method::POST, "/log?filter=verbose").await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        assert!(body.contains("`verbose` is no log level"), "{body}");
        let path = "/log?filter=warn%2Cshallotflow_entry=debug";
        assert_eq!(send(address, Method::POST, path).await.0, StatusCode::OK);
        let (_, body) = send(address, Method::GET, "/log").await;
        assert_eq!(body, "warn,shallotflow_entry=debug\n");
    });
}

#[test]
fn programs_on_two_threads_have_separate_metrics() {
    let threads = [3, 5].map(|count| {
        std::thread::spawn(move || {
            serve("counting", true, async |address, _| {
                metrics::counter!(metric::EVICTIONS).increment(count);
                let (_, body) = send(address, Method::GET, "/metrics").await;
                let line = format!("{} {count}\n", metric::EVICTIONS);
                assert!(body.contains(&line), "{body}");
                assert!(body.contains("# HELP shallotflow_evictions_total"), "{body}");
            });
        })
    });
    for thread in threads {
        thread.join().expect("a passing thread");
    }
}

/// Collects the written log lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("a lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_line_names_its_program_and_request() {
    let _program = Program::new("entry", &"entry-7".into(), "info").expect("a program");
    let lines = Lines::default();
    let logger = logs::logger(lines.clone()).expect("a logger");
    spdlog::info!(logger: logger, "refused\n\"so\"", kv: { request = "r-1", wait_ms = 5 });
    spdlog::debug!(logger: logger, "left out");
    let text = String::from_utf8(lines.0.lock().expect("a lock").clone()).expect("text");
    let line: Value = serde_json::from_str(text.trim_end()).expect("one line of JSON");
    assert_eq!(line["process"], "entry-7");
    assert_eq!(line["program"], "entry");
    assert_eq!(line["target"], "operators");
    assert_eq!(line["message"], "refused\n\"so\"");
    assert_eq!(line["request"], "r-1");
    assert_eq!(line["wait_ms"], 5);
    assert!(line["time"].as_str().is_some_and(|time| time.ends_with('Z')), "{text}");
}

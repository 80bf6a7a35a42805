//! Metrics of batch work and of store calls.

mod support;

use http::{Method, Request};
use monoio::net::TcpListener;
use shallotflow_entry::Settings;
use shallotflow_runtime::executor;
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use shallotflow_wire::http::body::Body;
use std::rc::Rc;
use std::time::Duration;
use support::Entry;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn metrics(entry: &Entry) -> String {
    let pool = support::pool();
    let mut connection = pool.take(entry.bound.operators).await.expect("a connection");
    let request = Request::get("/metrics").body(Body::Empty).expect("a request");
    let response = connection.send(request).await.expect("an answer");
    let body = response.into_body().collect(1 << 20).await.expect("a body");
    String::from_utf8(body.to_vec()).expect("text")
}

async fn wait_for_line(entry: &Entry, line: &str) {
    while !metrics(entry).await.lines().any(|metric| metric == line) {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn send(entry: &Entry, method: Method, path: &str, body: &'static str) -> support::Answer {
    let request = Request::builder().method(method).uri(path).header("idempotency-key", "k1");
    entry.send(request, body).await
}

#[test]
fn batch_metrics_reflect_committed_changes() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = listener.local_addr().expect("a bound address");
        let server = Server::new(Faults::default(), Counters::default(), 7);
        monoio::spawn(serve(listener, server, Rc::default()));
        let settings = Settings { store: vec![store], ..support::settings() };
        let ledgers = settings.ledgers;
        let entry = Entry::start(settings).await;
        wait_for_line(&entry, &format!("shallotflow_owned_ledgers {ledgers}")).await;
        let job = "{\"kind\":\"print\",\"declared_run_ms\":1,\"resources\":{\"slots\":1}}";
        let answer = send(&entry, Method::POST, "/jobs", job).await;
        assert_eq!(answer.status(), 202);
        wait_for_line(&entry, "shallotflow_batch_backlog 1").await;
        let path = answer.header("location").to_owned();
        assert_eq!(send(&entry, Method::DELETE, &path, "").await.status(), 200);
        wait_for_line(&entry, "shallotflow_batch_ended_total{state=\"cancelled\"} 1").await;
        wait_for_line(&entry, "shallotflow_batch_backlog 0").await;
        let text = metrics(&entry).await;
        assert!(text.contains("shallotflow_store_calls_total{call=\"commit\",result=\"ok\"}"));
    };
    let ended = executor::run(async { monoio::time::timeout(TEST_TIMEOUT, scenario).await });
    ended.expect("a runtime").expect("the test timed out");
}

//! The fleet configuration at entries: from the store, and from agents while the store is down.

mod support;

use futures_util::future::LocalBoxFuture;
use monoio::net::TcpListener;
use shallotflow_core::fleet::key;
use shallotflow_entry::Settings;
use shallotflow_runtime::executor;
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use shallotflow_store::client;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::proto;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::Entry;

const HANG: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);
const GOOD: &str = "[defaults]\nwatch_cap = 7\n";

async fn store(faults: Faults) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = Server::new(faults, Counters::default(), 7);
    monoio::spawn(serve(listener, server, Rc::default()));
    address
}

async fn write(store: SocketAddr, text: &str) -> u64 {
    let settings = client::Settings { endpoints: vec![store], ..Default::default() };
    let client = client::Client::new(settings);
    let written = client.commit(Transaction::default().put(key::TEXT, text)).await;
    written.expect("a written text") as u64
}

async fn entry(store: SocketAddr) -> Entry {
    Entry::start(Settings { store: vec![store], ..Settings::default() }).await
}

async fn fetch(entry: &Entry) -> proto::ConfigReply {
    entry
        .peer()
        .fetch_config(proto::ConfigRequest::default())
        .await
        .expect("an answer")
        .into_inner()
}

async fn wait_for(entry: &Entry, revision: u64) -> proto::ConfigReply {
    loop {
        let reply = fetch(entry).await;
        if reply.revision >= revision {
            return reply;
        }
        monoio::time::sleep(POLL).await;
    }
}

async fn report(entry: &Entry, sequence: u64, revision: u64, text: &str) -> proto::ReportReply {
    let report = proto::ReportRequest {
        worker: "w1".to_owned(),
        domain: "d1".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        incarnation: 1,
        sequence,
        config_revision: revision,
        config_text: text.to_owned(),
        ..Default::default()
    };
    entry.peer().report(report).await.expect("an accepted report").into_inner()
}

fn run(test: impl AsyncFnOnce()) {
    executor::run(async {
        monoio::time::timeout(HANG, test()).await.expect("no hang");
    })
    .expect("a runtime");
}

#[test]
fn follows_the_store_and_keeps_the_last_good_text() {
    run(async || {
        let faults = Faults::default();
        let store = store(faults.clone()).await;
        let entry = entry(store).await;
        let first = write(store, GOOD).await;
        assert_eq!(wait_for(&entry, first).await.text, GOOD);
        write(store, "[defaults]\nwatch_cap = many\n").await;
        faults.set_down(true);
        monoio::time::sleep(POLL).await;
        faults.set_down(false);
        let last = write(store, "[defaults]\nwatch_cap = 8\n").await;
        assert_eq!(wait_for(&entry, last).await.text, "[defaults]\nwatch_cap = 8\n");
    });
}

#[test]
fn learns_from_agents_while_the_store_is_down() {
    run(async || {
        let faults = Faults::default();
        faults.set_down(true);
        let entry = entry(store(faults).await).await;
        let reply = report(&entry, 1, 9, "").await;
        assert_eq!((reply.config_revision, reply.want_config), (0, true));
        let reply = report(&entry, 2, 9, GOOD).await;
        assert_eq!((reply.config_revision, reply.want_config), (9, false));
        let fetched = fetch(&entry).await;
        assert_eq!((fetched.revision, &*fetched.text), (9, GOOD));
        let reply = report(&entry, 3, 4, "").await;
        assert_eq!((reply.config_revision, reply.want_config), (9, false));
    });
}

#[test]
fn does_not_ask_again_for_a_text_that_it_refused() {
    run(async || {
        let faults = Faults::default();
        faults.set_down(true);
        let entry = entry(store(faults).await).await;
        let reply = report(&entry, 1, 3, "[default]\n").await;
        assert_eq!((reply.config_revision, reply.want_config), (0, false));
        let reply = report(&entry, 2, 2, "").await;
        assert_eq!((reply.config_revision, reply.want_config), (0, true));
    });
}

#[test]
fn values_in_force_apply_to_requests_and_jobs() {
    run(async || {
        let store = store(Faults::default()).await;
        let entry = entry(store).await;
        let text = "[exception slow-kind]\nkind = render\nquick_deadline = 60ms\nreason = r\n\
                    [exception urgent]\ncaller = exporter\npriority = 210\nreason = r\n";
        let revision = write(store, text).await;
        wait_for(&entry, revision).await;
        let agent = support::Agent::start("worker-1", "render", never);
        agent.report(&entry).await;
        // Without the exception the default deadline would let the test hang far longer.
        let answer = entry.send(http::Request::post("/run/render"), "").await;
        assert_eq!(answer.problem().code.as_str(), "timed-out");
        let submit = http::Request::post("/jobs")
            .header("idempotency-key", "k1")
            .header("shallotflow-caller", "exporter");
        let job = "{\"kind\":\"print\",\"declared_run_ms\":1,\"resources\":{\"slots\":1}}";
        let answer = submitted(&entry, submit, job).await;
        assert_eq!(answer["spec"]["priority"], 210);
    });
}

fn never(_: u64, _: http::Request<Body>) -> LocalBoxFuture<'static, http::Response<Body>> {
    Box::pin(std::future::pending())
}

/// Submits until the entry owns the job's ledger.
async fn submitted(
    entry: &Entry,
    request: http::request::Builder,
    job: &'static str,
) -> serde_json::Value {
    let (head, ()) = request.body(()).expect("a request").into_parts();
    loop {
        let mut again = http::Request::builder().method(head.method.clone()).uri(head.uri.clone());
        *again.headers_mut().expect("valid headers") = head.headers.clone();
        let answer = entry.send(again, job).await;
        if answer.status() == 202 {
            return serde_json::from_slice(&answer.body).expect("a record");
        }
        monoio::time::sleep(POLL).await;
    }
}

#[test]
fn an_agent_that_is_one_change_behind_fetches_little_more_than_the_change() {
    run(async || {
        let store = store(Faults::default()).await;
        let entry = entry(store).await;
        let mut text = String::new();
        for index in 0..900 {
            text +=
                &format!("[exception e{index}]\nworker = w{index}\nbatch = false\nreason = r\n");
        }
        let have_revision = write(store, &text).await;
        wait_for(&entry, have_revision).await;
        let added = "[exception added]\nworker = w\nbatch = false\nreason = r\n";
        text = text.replace("[exception e500]", &format!("{added}[exception e500]"));
        let revision = write(store, &text).await;
        wait_for(&entry, revision).await;
        let request = proto::ConfigRequest { have_revision };
        let reply = entry.peer().fetch_config(request).await.expect("an answer").into_inner();
        assert_eq!((reply.revision, reply.base_revision), (revision, have_revision));
        assert_eq!(reply.text.len(), added.len());
    });
}

#[test]
fn the_deadline_of_the_fleet_applies_to_a_request_that_names_none() {
    run(async || {
        let store = store(Faults::default()).await;
        let entry = entry(store).await;
        let revision = write(store, "[defaults]\nquick_deadline = 50ms\n").await;
        wait_for(&entry, revision).await;
        let agent = support::Agent::start("worker-1", "preview", |_, request| {
            Box::pin(async move {
                monoio::time::sleep(HANG).await;
                http::Response::new(request.into_body())
            })
        });
        agent.report(&entry).await;
        let answer = entry.send(http::Request::post("/run/preview"), "x").await;
        assert_eq!(answer.problem().code, shallotflow_core::problem::Code::TimedOut);
    });
}

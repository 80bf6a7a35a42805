//! The fleet configuration at entries: from the store, or from agents during an outage of the
//! store.

mod support;

use futures_util::future::LocalBoxFuture;
use monoio::net::TcpListener;
use shallotflow_core::fleet::key;
use shallotflow_core::ini::codec::{Codec, Timestamp};
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
use std::time::{Duration, SystemTime};
use support::Entry;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const VALID_TEXT: &str = "[defaults]\nwatch_cap = 7\n";

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
        monoio::time::sleep(POLL_INTERVAL).await;
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
        monoio::time::timeout(TEST_TIMEOUT, test()).await.expect("the test timed out");
    })
    .expect("a runtime");
}

#[test]
fn follows_the_store_and_keeps_the_last_valid_text() {
    run(async || {
        let faults = Faults::default();
        let store = store(faults.clone()).await;
        let entry = entry(store).await;
        let first = write(store, VALID_TEXT).await;
        assert_eq!(wait_for(&entry, first).await.text, VALID_TEXT);
        write(store, "[defaults]\nwatch_cap = many\n").await;
        faults.set_down(true);
        monoio::time::sleep(POLL_INTERVAL).await;
        faults.set_down(false);
        let last = write(store, "[defaults]\nwatch_cap = 8\n").await;
        assert_eq!(wait_for(&entry, last).await.text, "[defaults]\nwatch_cap = 8\n");
    });
}

#[test]
fn accepts_the_configuration_from_agents_during_a_store_outage() {
    run(async || {
        let faults = Faults::default();
        faults.set_down(true);
        let entry = entry(store(faults).await).await;
        let reply = report(&entry, 1, 9, "").await;
        assert_eq!((reply.config_revision, reply.want_config), (0, true));
        let reply = report(&entry, 2, 9, VALID_TEXT).await;
        assert_eq!((reply.config_revision, reply.want_config), (9, false));
        let fetched = fetch(&entry).await;
        assert_eq!((fetched.revision, &*fetched.text), (9, VALID_TEXT));
        let reply = report(&entry, 3, 4, "").await;
        assert_eq!((reply.config_revision, reply.want_config), (9, false));
    });
}

#[test]
fn does_not_request_a_refused_text_again() {
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
        let agent = support::Agent::start("worker-1", "render", never_respond);
        agent.report(&entry).await;
        // Without the exception the request would wait for the far longer default deadline.
        let answer = entry.send(http::Request::post("/run/render"), "").await;
        assert_eq!(answer.problem().code.as_str(), "timed-out");
        let submit = http::Request::post("/jobs")
            .header("idempotency-key", "k1")
            .header("shallotflow-caller", "exporter");
        let job = "{\"kind\":\"print\",\"declared_run_ms\":1,\"resources\":{\"slots\":1}}";
        let answer = submit_until_accepted(&entry, submit, job).await;
        assert_eq!(answer["spec"]["priority"], 210);
    });
}

#[test]
fn domains_that_drain_are_evacuated_until_the_exception_is_removed_or_expires() {
    run(async || {
        let store = store(Faults::default()).await;
        let entry = entry(store).await;
        let evacuation = "[exception evacuate-z1]\ndomain = z1\ndrain = true\nreason = r\n";
        write(store, evacuation).await;
        wait_for_evacuated(&entry, &["z1"]).await;
        let other = "[exception x]\ndomain = z2\nworker = w\ndrain = true\nreason = r\n";
        write(store, other).await;
        wait_for_evacuated(&entry, &[]).await;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time");
        let expires = Timestamp::print(&(now.as_secs() + 2));
        write(store, &format!("{evacuation}expires = {expires}\n")).await;
        wait_for_evacuated(&entry, &["z1"]).await;
        // No change of the configuration announces the expiry.
        wait_for_evacuated(&entry, &[]).await;
    });
}

#[test]
fn an_entry_owns_no_graphs_before_it_knows_the_evacuated_domains() {
    // It would start tasks in a domain whose evacuation was confirmed long ago.
    run(async || {
        let store = store(Faults::default()).await;
        write(store, "[exception e]\ndomain = z1\ndrain = true\nreason = r\n").await;
        let graphs_listen = Some("127.0.0.1:0".parse().expect("an address"));
        let settings = Settings { store: vec![store], graphs_listen, ..Settings::default() };
        let entry = Entry::start(settings).await;
        loop {
            let dump = dump(&entry).await;
            if dump["graphs"]["owned"] == true {
                assert_eq!(dump["evacuated_by_configuration"], serde_json::json!(["z1"]));
                return;
            }
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

async fn dump(entry: &Entry) -> serde_json::Value {
    let request = http::Request::get("/dump").body(Body::Empty).expect("a request");
    let pool = support::pool();
    let answer = pool.exchange(entry.bound.operators, request, 1 << 20).await.expect("a dump");
    serde_json::from_slice(answer.body()).expect("a dump in JSON")
}

/// Waits until the entry shows `domains` as evacuated by its configuration.
async fn wait_for_evacuated(entry: &Entry, domains: &[&str]) {
    loop {
        if dump(entry).await["evacuated_by_configuration"] == serde_json::json!(domains) {
            return;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn never_respond(_: u64, _: http::Request<Body>) -> LocalBoxFuture<'static, http::Response<Body>> {
    Box::pin(std::future::pending())
}

/// Submits repeatedly until the entry owns the job's ledger and accepts the job.
async fn submit_until_accepted(
    entry: &Entry,
    request: http::request::Builder,
    job: &'static str,
) -> serde_json::Value {
    let (head, ()) = request.body(()).expect("a request").into_parts();
    loop {
        let mut copy = http::Request::builder().method(head.method.clone()).uri(head.uri.clone());
        *copy.headers_mut().expect("valid headers") = head.headers.clone();
        let answer = entry.send(copy, job).await;
        if answer.status() == 202 {
            return serde_json::from_slice(&answer.body).expect("a record");
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn an_agent_one_revision_behind_fetches_only_the_added_text() {
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
fn the_configured_deadline_applies_to_a_request_without_one() {
    run(async || {
        let store = store(Faults::default()).await;
        let entry = entry(store).await;
        let revision = write(store, "[defaults]\nquick_deadline = 50ms\n").await;
        wait_for(&entry, revision).await;
        let agent = support::Agent::start("worker-1", "preview", |_, request| {
            Box::pin(async move {
                monoio::time::sleep(TEST_TIMEOUT).await;
                http::Response::new(request.into_body())
            })
        });
        agent.report(&entry).await;
        let answer = entry.send(http::Request::post("/run/preview"), "x").await;
        assert_eq!(answer.problem().code, shallotflow_core::problem::Code::TimedOut);
    });
}

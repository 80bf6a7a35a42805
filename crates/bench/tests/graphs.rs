//! Jobs of several tasks through the HTTP interface for graphs: processes as threads, over
//! loopback.

use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use shallotflow_bench::cluster::Node;
use shallotflow_bench::load::client::{Answer, Client};
use shallotflow_core::settings::{agent, entry, standin};
use shallotflow_policy::plan::message::ExitReason;
use shallotflow_runtime::executor;
use shallotflow_scheduler::runs;
use shallotflow_standin::runs::{Event, Events, Transition};
use shallotflow_wire::http::body::Body;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use test_case::test_case;

/// Limit for a test that hangs; no passing test waits this long.
const HANG: Duration = Duration::from_secs(60);
const CALL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(10);
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A store, workers with their agents, and entries; dropping it kills them.
struct Testbed {
    nodes: Vec<Node>,
    store: SocketAddr,
    workers: Vec<SocketAddr>,
    entries: Vec<Client>,
}

impl Testbed {
    fn start(workers: usize, entries: usize) -> Self {
        let settings = standin::Settings {
            store_listen: Some(ANY),
            control_listen: None,
            target_listen: None,
            log: "off".into(),
            ..standin::Settings::default()
        };
        let (node, bound) = standin(settings);
        let store = bound.store.expect("a store");
        let mut testbed =
            Self { nodes: vec![node], store, workers: Vec::new(), entries: Vec::new() };
        for number in 0..entries {
            testbed.add_entry(number);
        }
        for number in 0..workers {
            testbed.add_worker(number);
        }
        testbed
    }

    fn add_entry(&mut self, number: usize) {
        let settings = entry::Settings {
            name: format!("entry-{number}").into(),
            store: vec![self.store],
            graphs_listen: Some(ANY),
            log: "off".into(),
            ..entry::Settings::default()
        };
        let name = settings.name.to_string();
        let (node, bound) = Node::start(name, move |stop, ready| {
            Box::pin(shallotflow_entry::run(settings, stop, ready))
        })
        .expect("an entry");
        self.nodes.push(node);
        self.entries.push(Client::new(bound.callers));
    }

    fn add_worker(&mut self, number: usize) {
        let name = format!("worker-{number}");
        let settings = standin::Settings {
            runs_listen: Some(ANY),
            worker: name.as_str().into(),
            log: "off".into(),
            ..standin::Settings::default()
        };
        let (node, bound) = standin(settings);
        self.nodes.push(node);
        let runs = bound.runs.expect("a worker");
        self.workers.push(runs);
        let settings = agent::Settings {
            worker: name.as_str().into(),
            control: bound.control.expect("a control interface"),
            target: bound.target.expect("a target"),
            runs: Some(runs),
            store: vec![self.store],
            log: "off".into(),
            ..agent::Settings::default()
        };
        let (node, _) = Node::start(format!("agent-{number}"), move |stop, ready| {
            Box::pin(shallotflow_agent::run(settings, stop, ready))
        })
        .expect("an agent");
        self.nodes.push(node);
    }

    async fn ask(&self, entry: usize, method: Method, path: &str, body: String) -> Answer {
        let request = Request::builder().method(method).uri(path).body(Body::from(body));
        self.entries[entry].send(request.expect("a request"), CALL).await.expect("an answer")
    }

    /// Submits a job until it is accepted.
    async fn submit(&self, path: &str, job: &Value) {
        loop {
            let answer = self.ask(0, Method::PUT, path, job.to_string()).await;
            match answer.status {
                StatusCode::ACCEPTED => return,
                // The entry is not connected to the store yet.
                StatusCode::SERVICE_UNAVAILABLE => monoio::time::sleep(PAUSE).await,
                status => panic!("{status}: {:?}", answer.body),
            }
        }
    }

    /// Waits until every entry shows the job in `state`.
    async fn wait(&self, path: &str, state: &str) {
        for entry in 0..self.entries.len() {
            loop {
                let answer = self.ask(entry, Method::GET, path, String::new()).await;
                let status: Value = serde_json::from_slice(&answer.body).expect("JSON");
                if status["state"] == state {
                    break;
                }
                monoio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Returns the events at all workers, sorted by time.
    async fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for worker in &self.workers {
            let client = runs::Client::new(*worker);
            let (_, own) = client.call(&Events { after: 0 }, CALL).await.expect("events");
            events.extend(own);
        }
        events.sort_by_key(|event| (event.unix_us, event.number));
        events
    }
}

fn standin(settings: standin::Settings) -> (Node, shallotflow_standin::Bound) {
    Node::start("standin", move |stop, ready| {
        Box::pin(shallotflow_standin::run(settings, stop, ready))
    })
    .expect("a stand-in")
}

fn run(test: impl Future<Output = ()>) {
    executor::run(async {
        monoio::time::timeout(HANG, test).await.expect("the test ends in time");
    })
    .expect("a runtime");
}

fn job(behaviors: Value, steps: Value) -> Value {
    json!({ "text": json!({ "steps": behaviors }).to_string(), "steps": steps })
}

const PATH: &str = "/graphs/render/00000000000000a1";

#[test]
fn steps_run_in_order_and_every_entry_shows_the_completion() {
    run(async {
        let testbed = Testbed::start(2, 2);
        let steps = json!([
            { "count": 4, "need": { "millicores": 500 } },
            { "count": 3, "need": { "millicores": 500 }, "after": [0] },
        ]);
        testbed.submit(PATH, &job(json!([{ "run_ms": 20 }, { "run_ms": 10 }]), steps)).await;
        testbed.wait(PATH, "completed").await;
        let events = testbed.events().await;
        let done = |step: u16| {
            let done = |event: &&Event| {
                event.transition == Transition::Ended(ExitReason::Done) && event.task.step == step
            };
            events.iter().filter(done).map(|event| event.unix_us).collect::<Vec<_>>()
        };
        assert_eq!((done(0).len(), done(1).len()), (4, 3));
        let first = events
            .iter()
            .filter(|event| event.transition == Transition::Started && event.task.step == 1)
            .map(|event| event.unix_us)
            .min();
        assert!(first >= done(0).into_iter().max(), "{events:?}");
    });
}

#[test]
fn a_task_that_keeps_failing_uses_up_its_attempts() {
    run(async {
        let testbed = Testbed::start(2, 1);
        let steps = json!([{ "count": 1 }, { "count": 1, "after": [0] }]);
        testbed.submit(PATH, &job(json!([{ "run_ms": 5, "fails_percent": 100 }]), steps)).await;
        testbed.wait(PATH, "failed").await;
        let events = testbed.events().await;
        let starts = events.iter().filter(|event| event.transition == Transition::Started);
        assert_eq!(starts.map(|event| event.task.step).collect::<Vec<_>>(), [0; 5]);
    });
}

#[test]
fn a_cancel_stops_a_long_running_job_at_its_workers() {
    run(async {
        let testbed = Testbed::start(1, 2);
        let steps = json!([{ "count": 2, "lasting": true }]);
        testbed.submit(PATH, &job(json!([{ "lasts": true }]), steps)).await;
        testbed.wait(PATH, "running").await;
        let answer = testbed.ask(1, Method::DELETE, PATH, String::new()).await;
        assert_eq!(answer.status, StatusCode::OK);
        testbed.wait(PATH, "cancelled").await;
        loop {
            let events = testbed.events().await;
            let count = |what| events.iter().filter(|event| event.transition == what).count();
            let started = count(Transition::Started);
            if started > 0 && started == count(Transition::Ended(ExitReason::Stopped)) {
                break;
            }
            monoio::time::sleep(PAUSE).await;
        }
    });
}

#[test]
fn jobs_wait_and_are_counted_while_no_worker_exists() {
    run(async {
        let mut testbed = Testbed::start(0, 2);
        testbed.submit(PATH, &job(json!([]), json!([{ "count": 1 }]))).await;
        loop {
            let answer = testbed.ask(1, Method::GET, "/graphs/render", String::new()).await;
            let counted: Value = serde_json::from_slice(&answer.body).expect("JSON");
            if counted["waiting"] == 1 {
                break;
            }
            monoio::time::sleep(PAUSE).await;
        }
        testbed.add_worker(0);
        testbed.wait(PATH, "completed").await;
    });
}

#[test_case("PUT", "/graphs/render/a1", r#"{"steps":[{"count":1}]}"#, 400, "malformed"; "an identifier that is too short")]
#[test_case("PUT", PATH, "{", 400, "malformed"; "no JSON")]
#[test_case("PUT", PATH, r#"{"steps":[]}"#, 400, "malformed"; "no steps")]
#[test_case("PUT", PATH, r#"{"steps":[{"count":0}]}"#, 400, "malformed"; "no tasks")]
#[test_case("PUT", PATH, r#"{"steps":[{"count":1,"after":[0]}]}"#, 400, "malformed"; "a step after itself")]
#[test_case("PUT", PATH, r#"{"steps":[{"count":1,"cuont":2}]}"#, 400, "malformed"; "a field that does not exist")]
#[test_case("PUT", PATH, r#"{"steps":[{"count":"one"}]}"#, 400, "malformed"; "a field of another type")]
#[test_case("PUT", PATH, r#"{"steps":[{"count":20001}]}"#, 400, "malformed"; "too many tasks")]
#[test_case("GET", PATH, "", 404, "unknown-job"; "a job that nobody submitted")]
#[test_case("DELETE", PATH, "", 404, "unknown-job"; "a cancel of a job that nobody submitted")]
#[test_case("POST", PATH, "", 405, "method-not-allowed"; "another method")]
#[test_case("PUT", "/graphs/render/00000000000000a1/x", "", 404, "not-found"; "a longer path")]
fn invalid_requests_are_refused_with_a_problem_code(
    method: &str,
    path: &str,
    body: &str,
    status: u16,
    code: &str,
) {
    run(async {
        let testbed = Testbed::start(0, 1);
        let method = Method::from_bytes(method.as_bytes()).expect("a method");
        loop {
            let answer = testbed.ask(0, method.clone(), path, body.to_owned()).await;
            let problem: Value = serde_json::from_slice(&answer.body).expect("a problem");
            if problem["code"] == "store-unavailable" {
                // The entry is not connected to the store yet.
                monoio::time::sleep(PAUSE).await;
                continue;
            }
            assert_eq!((answer.status.as_u16(), &problem["code"]), (status, &json!(code)));
            break;
        }
    });
}

#[test]
fn an_entry_without_a_store_refuses_requests_as_not_run() {
    run(async {
        let settings = entry::Settings { log: "off".into(), ..entry::Settings::default() };
        let (_node, bound) = Node::start("entry", move |stop, ready| {
            Box::pin(shallotflow_entry::run(settings, stop, ready))
        })
        .expect("an entry");
        let body = Body::from(r#"{"steps":[{"count":1}]}"#);
        let request = Request::put(PATH).body(body).expect("a request");
        let answer = Client::new(bound.callers).send(request, CALL).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.headers["shallotflow-outcome"], "not-run");
    });
}

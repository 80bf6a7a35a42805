//! Overload: callers' shares, load shedding and the limit on watchers.

mod support;

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use shallotflow_entry::Settings;
use shallotflow_wire::http::body::Body;
use std::rc::Rc;
use std::time::Duration;
use support::{Agent, Entry, settings, with_entry};

const SERVICE_TIME: Duration = Duration::from_secs(1);

/// Answers after [`SERVICE_TIME`], regardless of the concurrency.
fn slow(_: u64, request: Request<Body>) -> LocalBoxFuture<'static, Response<Body>> {
    Box::pin(async move {
        monoio::time::sleep(SERVICE_TIME).await;
        Response::new(request.into_body())
    })
}

/// Starts an agent that announces one slot and a service time of 100 ms.
async fn single_slot_agent(entry: &Entry) -> Agent {
    let agent = Agent::start("worker-1", "preview", slow);
    let load =
        shallotflow_wire::proto::Load { slots: 1, service_us: 100_000, ..Default::default() };
    agent.report.borrow_mut().load = Some(load);
    agent.report(entry).await;
    agent
}

fn request(caller: &str, deadline_ms: u32) -> http::request::Builder {
    Request::post("/run/preview")
        .header("shallotflow-caller", caller)
        .header("shallotflow-deadline-ms", deadline_ms)
}

/// Starts `count` requests and returns once the agent has received them.
async fn send_and_wait_until_received(
    entry: &Rc<Entry>,
    agent: &Agent,
    build: impl Fn() -> http::request::Builder,
    count: u64,
) {
    let before = agent.calls.get();
    for _ in 0..count {
        let (entry, request) = (entry.clone(), build());
        monoio::spawn(async move {
            entry.send(request, "x").await;
        });
    }
    while agent.calls.get() < before + count {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_caller_over_its_share_is_refused_while_another_is_served() {
    support::run(async {
        let entry = Rc::new(Entry::start(settings()).await);
        let agent = single_slot_agent(&entry).await;
        send_and_wait_until_received(&entry, &agent, || request("greedy", 5_000), 14).await;
        send_and_wait_until_received(&entry, &agent, || request("modest", 5_000), 1).await;
        let refused = entry.send(request("greedy", 5_000), "x").await;
        let problem = refused.problem();
        assert_eq!((problem.code, problem.outcome), (Code::CallerOverShare, Outcome::NotRun));
        assert_eq!(refused.header("retry-after"), "1");
        assert_eq!(entry.send(request("modest", 5_000), "x").await.status(), 200);
    });
}

#[test]
fn a_request_with_an_expected_wait_beyond_its_deadline_is_refused_immediately() {
    support::run(async {
        let entry = Rc::new(Entry::start(settings()).await);
        let agent = single_slot_agent(&entry).await;
        send_and_wait_until_received(&entry, &agent, || request("clerk", 5_000), 10).await;
        let before = agent.calls.get();
        let problem = entry.send(request("other", 500), "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::Overloaded, Outcome::NotRun));
        assert_eq!(agent.calls.get(), before);
    });
}

#[test]
fn watchers_over_the_limit_are_refused_while_quick_requests_are_served() {
    support::run(async {
        let entry = Rc::new(Entry::start(Settings { watchers: 2, ..settings() }).await);
        let agent = Agent::start("worker-1", "paper", slow);
        agent.report(&entry).await;
        let watch = || Request::post("/run/paper").header("shallotflow-class", "watch");
        send_and_wait_until_received(&entry, &agent, watch, 2).await;
        let problem = entry.send(watch(), "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::Overloaded, Outcome::NotRun));
        assert_eq!(entry.send(Request::post("/run/paper"), "x").await.status(), 200);
    });
}

#[test]
fn a_watcher_may_pause_longer_than_the_stall_limit_of_quick_requests() {
    let limits = shallotflow_wire::http::limits::Limits {
        stall: Duration::from_millis(100),
        ..Default::default()
    };
    with_entry(Settings { limits, ..settings() }, async |entry| {
        let agent = Agent::start("worker-1", "paper", |_, _| {
            Box::pin(async { Response::new(Body::Source(Box::new(Pausing(3)))) })
        });
        agent.report(entry).await;
        let watch = Request::post("/run/paper").header("shallotflow-class", "watch");
        assert_eq!(entry.send(watch, "x").await.body, "tick tick tick ");
    });
}

/// A body that pauses before each of its chunks.
struct Pausing(u32);

impl shallotflow_wire::http::body::Source for Pausing {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<shallotflow_wire::http::Result<bytes::Bytes>>> {
        Box::pin(async {
            self.0 = self.0.checked_sub(1)?;
            monoio::time::sleep(Duration::from_millis(300)).await;
            Some(Ok(bytes::Bytes::from_static(b"tick ")))
        })
    }
}

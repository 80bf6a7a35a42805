//! Requests to targets: retries, outcomes, leaving and failing targets.

mod support;

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use monoio::net::TcpListener;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use shallotflow_entry::Settings;
use shallotflow_wire::http::body::Body;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use support::{Agent, echo, refuse, settings, with_entry};
use test_case::test_case;

/// Accepts requests and never answers.
fn silent(_: u64, request: Request<Body>) -> LocalBoxFuture<'static, Response<Body>> {
    Box::pin(async move {
        // A sleep instead of a pending future: a task that nothing can wake would be dropped, and
        // its connection closed.
        monoio::time::sleep(Duration::from_secs(3_600)).await;
        Response::new(request.into_body())
    })
}

/// Answers every request with an internal server error.
fn failing(_: u64, _: Request<Body>) -> LocalBoxFuture<'static, Response<Body>> {
    let mut response = Response::new(Body::from("broken"));
    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
    Box::pin(async move { response })
}

/// Returns the address of a listener that closes each connection once a request has arrived, and
/// the number of received requests.
fn listen_and_close() -> (String, Rc<Cell<u32>>) {
    use monoio::io::AsyncReadRent;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let received = Rc::new(Cell::new(0));
    let count = received.clone();
    monoio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let (result, _) = stream.read(vec![0_u8; 1_000]).await;
            count.set(count.get() + u32::from(result.is_ok_and(|length| length > 0)));
        }
    });
    (address, received)
}

#[test]
fn a_refused_request_is_retried_even_if_not_idempotent() {
    with_entry(settings(), async |entry| {
        let refusing = Agent::start("worker-1", "preview", refuse);
        let working = Agent::start("worker-2", "preview", echo);
        refusing.report(entry).await;
        working.report(entry).await;
        for _ in 0..20 {
            let answer = entry.send(Request::post("/run/preview"), "x").await;
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"x"[..]));
        }
        assert_eq!(working.calls.get(), 20);
    });
}

#[test]
fn retries_stay_within_the_budget_when_every_target_refuses() {
    with_entry(settings(), async |entry| {
        let agents: Vec<Agent> = (0..4)
            .map(|number| Agent::start(&format!("worker-{number}"), "preview", refuse))
            .collect();
        for agent in &agents {
            agent.report(entry).await;
        }
        for _ in 0..1_000 {
            let answer = entry.send(Request::post("/run/preview"), "x").await;
            assert_eq!(answer.problem().outcome, Outcome::NotRun);
        }
        let calls: u64 = agents.iter().map(|agent| agent.calls.get()).sum();
        // The requests, the saved burst, a share of the requests, and the minimum rate of retries
        // for far longer than the test takes.
        assert!(calls <= 1_000 + 100 + 150 + 200, "{calls} attempts of 1,000 requests");
    });
}

#[test_case("false", Code::TargetLost, Outcome::Unknown, 1; "not idempotent")]
#[test_case("true", Code::TargetLost, Outcome::Unknown, 2; "idempotent")]
fn a_broken_connection_is_retried_only_when_idempotent(
    idempotent: &str,
    code: Code,
    outcome: Outcome,
    attempts: u32,
) {
    with_entry(settings(), async |entry| {
        let mut received = Vec::new();
        for worker in ["worker-1", "worker-2"] {
            let agent = Agent::start(worker, "render", echo);
            let (address, count) = listen_and_close();
            agent.report.borrow_mut().address = address;
            agent.report(entry).await;
            received.push(count);
        }
        let request = Request::post("/run/render").header("shallotflow-idempotent", idempotent);
        let problem = entry.send(request, "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (code, outcome));
        let ran: u32 = received.iter().map(|count| count.get()).sum();
        assert_eq!(ran, attempts);
    });
}

#[test]
fn an_unreachable_target_means_not_run() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", echo);
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().expect("a bound address").to_string();
        drop(free);
        agent.report.borrow_mut().address = address;
        agent.report(entry).await;
        let problem = entry.send(Request::post("/run/preview"), "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::TargetLost, Outcome::NotRun));
    });
}

#[test]
fn a_late_response_reaches_no_other_request() {
    with_entry(settings(), async |entry| {
        // The agent answers the first request long after its deadline, with the body of that
        // request.
        let agent = Agent::start("worker-1", "preview", |number, request| {
            Box::pin(async move {
                if number == 1 {
                    monoio::time::sleep(Duration::from_millis(150)).await;
                }
                Response::new(request.into_body())
            })
        });
        agent.report(entry).await;
        let hasty = Request::post("/run/preview").header("shallotflow-deadline-ms", "20");
        let problem = entry.send(hasty, "late").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::TimedOut, Outcome::Unknown));
        for _ in 0..20 {
            let answer = entry.send(Request::post("/run/preview"), "own").await;
            assert_eq!(answer.body, "own");
            monoio::time::sleep(Duration::from_millis(15)).await;
        }
    });
}

#[test]
fn a_leaving_target_gets_no_new_request() {
    with_entry(settings(), async |entry| {
        let leaving = Agent::start("worker-1", "preview", echo);
        let staying = Agent::start("worker-2", "preview", echo);
        leaving.report(entry).await;
        staying.report(entry).await;
        leaving.report.borrow_mut().leaving = true;
        leaving.report(entry).await;
        let before = leaving.calls.get();
        for _ in 0..30 {
            assert_eq!(entry.send(Request::post("/run/preview"), "x").await.status(), 200);
        }
        assert_eq!(leaving.calls.get(), before);
        staying.report.borrow_mut().leaving = true;
        staying.report(entry).await;
        let problem = entry.send(Request::post("/run/preview"), "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::Overloaded, Outcome::NotRun));
    });
}

#[test]
fn an_older_incarnation_never_replaces_a_newer_one() {
    with_entry(settings(), async |entry| {
        let older = Agent::start("worker-1", "preview", failing);
        let newer = Agent::start("worker-1", "preview", echo);
        newer.report.borrow_mut().incarnation = 2;
        older.report(entry).await;
        newer.report(entry).await;
        let late = older.report.borrow().clone();
        let late = shallotflow_wire::proto::ReportRequest { sequence: 9, ..late };
        let refused = entry.peer().report(late).await.expect_err("a refused report");
        assert_eq!(refused.code(), tonic::Code::FailedPrecondition);
        let answer = entry.send(Request::post("/run/preview"), "x").await;
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn a_silent_target_is_removed() {
    let settings = Settings { beat: Duration::from_millis(10), ..Settings::default() };
    with_entry(settings, async |entry| {
        let agent = Agent::start("worker-1", "preview", echo);
        agent.report(entry).await;
        loop {
            let answer = entry.send(Request::post("/run/preview"), "x").await;
            if answer.status() == 404 {
                assert_eq!(answer.problem().code, Code::UnknownKind);
                break;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn a_worker_that_fails_every_request_is_ejected() {
    with_entry(settings(), async |entry| {
        let bad = Agent::start("worker-0", "preview", failing);
        bad.report(entry).await;
        let good: Vec<Agent> = (1..4)
            .map(|number| Agent::start(&format!("worker-{number}"), "preview", echo))
            .collect();
        for agent in &good {
            agent.report(entry).await;
        }
        for _ in 0..200 {
            entry.send(Request::post("/run/preview"), "x").await;
        }
        // Five consecutive failures cause the ejection; after its end, at most the requests of one
        // probation follow.
        assert!(bad.calls.get() <= 8, "{} requests at the bad worker", bad.calls.get());
        let request = shallotflow_wire::proto::TargetsRequest::default();
        let targets = entry.peer().list_targets(request).await.expect("a list").into_inner();
        let ejected: Vec<bool> = targets.targets.iter().map(|target| target.ejected).collect();
        assert_eq!(ejected, [true, false, false, false]);
    });
}

#[test]
fn a_request_larger_than_every_worker_is_refused() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", echo);
        agent.report(entry).await;
        let needs = "slots=1,connections=1,accelerators=1";
        let request = Request::post("/run/preview").header("shallotflow-resources", needs);
        let problem = entry.send(request, "x").await.problem();
        assert_eq!((problem.code, problem.outcome), (Code::NeverFits, Outcome::NotRun));
        assert_eq!(agent.calls.get(), 0);
    });
}

#[test]
fn large_bodies_are_streamed_both_ways() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", echo);
        agent.report(entry).await;
        let large = bytes::Bytes::from(vec![b'x'; 3_000_000]);
        let answer =
            entry.send_body(Request::post("/run/preview"), Body::Full(large.clone())).await;
        assert_eq!(answer.status(), 200);
        assert!(answer.body == large);
    });
}

#[test]
fn a_truncated_response_is_not_passed_on_as_complete() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", |_, _| {
            Box::pin(async { Response::new(Body::Source(Box::new(Truncated(false)))) })
        });
        agent.report(entry).await;
        let request = Request::post("/run/preview").body(Body::from("x")).expect("a request");
        let pool = support::pool();
        let mut connection = pool.take(entry.bound.callers).await.expect("a connection");
        let response = connection.send(request).await.expect("a head");
        assert!(response.into_body().collect(1_000).await.is_err());
    });
}

/// A body that fails after its first chunk.
struct Truncated(bool);

impl shallotflow_wire::http::body::Source for Truncated {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<shallotflow_wire::http::Result<bytes::Bytes>>> {
        let chunk = match std::mem::replace(&mut self.0, true) {
            false => Ok(bytes::Bytes::from_static(b"half")),
            true => Err(shallotflow_wire::http::Error::Truncated),
        };
        Box::pin(async { Some(chunk) })
    }
}

#[test]
fn a_graceful_stop_cuts_off_no_request() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", |_, request| {
            Box::pin(async move {
                monoio::time::sleep(Duration::from_millis(900)).await;
                Response::new(request.into_body())
            })
        });
        agent.report(entry).await;
        let sending = entry.send(Request::post("/run/preview"), "in progress");
        let ending = async {
            while agent.calls.get() == 0 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            entry.end().await;
        };
        let (answer, ()) = futures_util::future::join(sending, ending).await;
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"in progress"[..]));
    });
}

#[test]
fn a_silent_agent_times_out_as_unknown() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", silent);
        agent.report(entry).await;
        let request = Request::post("/run/preview").header("shallotflow-deadline-ms", "30");
        let problem = entry.send(request, "x").await.problem();
        let seen = (problem.code, problem.outcome);
        assert_eq!(seen, (Code::TimedOut, Outcome::Unknown), "{}", problem.detail);
        assert_eq!(problem.status, 504);
    });
}

#[test_case("true", 200, "x"; "idempotent")]
#[test_case("false", 504, ""; "not idempotent")]
fn a_silent_target_is_abandoned_in_time_for_a_retry(idempotent: &str, status: u16, body: &str) {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", silent);
        agent.report(entry).await;
        let request = Request::post("/run/preview")
            .header("shallotflow-idempotent", idempotent)
            .header("shallotflow-deadline-ms", "2000");
        let sending = entry.send(request, "x");
        let joining = async {
            while agent.calls.get() == 0 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            let working = Agent::start("worker-2", "preview", echo);
            working.report(entry).await;
            working
        };
        let (answer, working) = futures_util::future::join(sending, joining).await;
        assert_eq!(answer.status(), status);
        if status == 200 {
            assert_eq!(answer.body, body.as_bytes());
        }
        assert_eq!(working.calls.get(), u64::from(status == 200));
    });
}

#[test]
fn a_refusal_in_the_middle_of_a_large_body_means_not_run() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "preview", refuse);
        agent.report(entry).await;
        let large = bytes::Bytes::from(vec![b'x'; 12_000_000]);
        let answer = entry.send_body(Request::post("/run/preview"), Body::Full(large)).await;
        let problem = answer.problem();
        assert_eq!((problem.code, problem.outcome), (Code::Overloaded, Outcome::NotRun));
    });
}

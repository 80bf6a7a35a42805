//! The callers' interface: complete responses, and a distinct error code for each invalid input.

mod support;

use http::Request;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use support::{Agent, Answer, Entry, echo, settings, with_entry};
use test_case::test_case;

#[test]
fn a_quick_request_returns_the_complete_response_of_its_target() {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "pattern", echo);
        let reply = agent.report(entry).await;
        assert_eq!(reply.sequence, 1);
        let answer = entry.send(Request::post("/run/pattern"), "a paisley").await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.body, "a paisley");
        assert_eq!(answer.header("shallotflow-outcome"), "done");
        assert_eq!(answer.header("shallotflow-worker"), "worker-1");
        assert!(!answer.header("shallotflow-request-id").is_empty());
    });
}

#[test_case("/run/other", "x-none", "", Code::UnknownKind; "unknown kind")]
#[test_case("/nowhere", "x-none", "", Code::NotFound; "unknown path")]
#[test_case("/run/a%2Fb", "x-none", "", Code::NotFound; "bad kind")]
#[test_case("/run/pattern", "shallotflow-deadline-ms", "0", Code::BadDeadline; "no time")]
#[test_case("/run/pattern", "shallotflow-deadline-ms", "2s", Code::BadDeadline; "unit")]
#[test_case("/run/pattern", "shallotflow-deadline-ms", "-5", Code::BadDeadline; "negative")]
#[test_case("/run/pattern", "shallotflow-deadline-ms", "99999999999", Code::BadDeadline; "far")]
#[test_case("/run/pattern", "shallotflow-resources", "slots=x", Code::BadHeader; "bad amount")]
#[test_case("/run/pattern", "shallotflow-resources", "slots=0", Code::BadHeader; "no slot")]
#[test_case("/run/pattern", "shallotflow-resources", "gpus=1", Code::BadHeader; "no resource")]
#[test_case("/run/pattern", "shallotflow-idempotent", "yes", Code::BadHeader; "no boolean")]
#[test_case("/run/pattern", "shallotflow-class", "batch", Code::BadHeader; "no class")]
#[test_case("/run/pattern", "shallotflow-caller", "a b", Code::BadHeader; "no name")]
#[test_case("/run/pattern", "shallotflow-hops", "2", Code::BadHeader; "too many hops")]
#[test_case("/jobs", "x-none", "", Code::KeyMissing; "no key")]
#[test_case("/jobs", "idempotency-key", "k1", Code::Malformed; "no job")]
fn each_invalid_input_has_its_own_code(path: &str, header: &str, value: &str, code: Code) {
    with_entry(settings(), async |entry| {
        let agent = Agent::start("worker-1", "pattern", echo);
        agent.report(entry).await;
        let answer = entry.send(Request::post(path).header(header, value), "{").await;
        let problem = answer.problem();
        assert_eq!((problem.code, problem.outcome), (code, Outcome::NotRun));
        assert_eq!(answer.status(), code.status());
        assert!((400..500).contains(&answer.status()));
        assert_eq!(agent.calls.get(), 0);
    });
}

#[test]
fn an_unsupported_method_is_refused_with_the_accepted_methods() {
    with_entry(settings(), async |entry| {
        let answer = entry.send(Request::put("/jobs/0-00112233445566778899aabbccddeeff"), "").await;
        assert_eq!(answer.problem().code, Code::MethodNotAllowed);
        assert_eq!(answer.header("allow"), "GET, DELETE");
    });
}

#[test]
fn without_a_store_a_job_is_refused_as_not_run() {
    with_entry(settings(), async |entry| {
        let request = Request::post("/jobs").header("idempotency-key", "k1");
        let job = r#"{"kind":"render","declared_run_ms":1000}"#;
        let answer = entry.send(request, job).await;
        let problem = answer.problem();
        assert_eq!((problem.code, problem.outcome), (Code::StoreUnavailable, Outcome::NotRun));
        assert_eq!(answer.header("retry-after"), "5");
    });
}

#[test]
fn request_identifiers_differ_between_restarts() {
    with_entry(settings(), async |entry| {
        let restarted = Entry::start(settings()).await;
        let request = || Request::get("/nothing");
        let first = entry.send(request(), "").await;
        let second = restarted.send(request(), "").await;
        let id = |answer: &Answer| answer.header("shallotflow-request-id").to_owned();
        assert!(!id(&first).is_empty());
        assert_ne!(id(&first), id(&second));
    });
}

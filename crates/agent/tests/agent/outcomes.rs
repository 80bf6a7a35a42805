//! Outcomes that an agent reports for requests.

use crate::support::{Agent, Entry, Script, Worker, request, run, until, worker_settings};
use futures_util::future::join_all;
use shallotflow_standin::audit::Audit;
use test_case::test_case;

async fn ready(worker: &Worker) -> (Entry, Agent) {
    let entry = Entry::start(Script::default());
    let agent = Agent::start(worker, &entry);
    until("a report", || !entry.script().reports.is_empty()).await;
    (entry, agent)
}

#[test_case(&[("shallotflow-deadline-ms", "soon")], 400, "bad-deadline" ; "a deadline that is not a number")]
#[test_case(&[("shallotflow-resources", "slots=many")], 400, "bad-header" ; "an amount that is not a number")]
#[test_case(&[("shallotflow-class", "batch")], 400, "bad-header" ; "a class that the agent does not serve")]
#[test_case(&[("shallotflow-resources", "memory_mib=9999")], 422, "never-fits" ; "more than the worker has")]
fn a_request_that_cannot_run_is_refused_with_a_problem_code(
    headers: &[(&'static str, &str)],
    status: u16,
    code: &str,
) {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let (_entry, agent) = ready(&worker).await;
        let answer = agent.request("", headers).await;
        assert_eq!(answer.status, status);
        assert_eq!(answer.header("shallotflow-outcome"), "not-run");
        assert!(String::from_utf8_lossy(&answer.body).contains(code));
        assert_eq!(worker.audit.record().requests, 0);
    });
}

#[test]
fn a_request_past_its_deadline_is_unknown_and_keeps_its_slot() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let (_entry, agent) = ready(&worker).await;
        let slow = [("shallotflow-deadline-ms", "300"), ("standin-run-ms", "1500")];
        let answers = join_all((0..2).map(|_| agent.request("slow", &slow))).await;
        for answer in &answers {
            assert_eq!(answer.header("shallotflow-outcome"), "unknown");
        }
        // Both slots are still occupied by requests past their deadline.
        let next = agent.request("next", &[("shallotflow-deadline-ms", "50")]).await;
        assert_eq!(next.header("shallotflow-outcome"), "not-run");
        let patient = agent.request("patient", &[("shallotflow-deadline-ms", "9000")]).await;
        assert_eq!(patient.header("shallotflow-outcome"), "done");
        let record = worker.audit.record();
        assert_eq!((record.requests, record.violations.total()), (3, 0));
    });
}

#[test]
fn a_request_on_a_dying_worker_is_unknown_and_later_ones_are_not_run() {
    run(async {
        let mut worker = Worker::start(worker_settings(), Audit::default());
        let (_entry, agent) = ready(&worker).await;
        let address = agent.address;
        let slow = [("standin-run-ms", "60000")];
        let in_progress = request(address, "in progress", &slow);
        let death = async {
            until("a start", || worker.audit.record().requests == 1).await;
            worker.kill().await;
        };
        let (answer, ()) = futures_util::future::join(in_progress, death).await;
        assert_eq!(answer.header("shallotflow-outcome"), "unknown");
        let later = agent.request("later", &[]).await;
        assert_eq!(later.header("shallotflow-outcome"), "not-run");
    });
}

#[test]
fn answers_belong_to_their_requests_under_load() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let (_entry, agent) = ready(&worker).await;
        let address = agent.address;
        let calls = (0..60).map(async |number: u32| {
            let body = format!("request {number}");
            let deadline = [("shallotflow-deadline-ms", "10000")];
            (body.clone(), request(address, &body, &deadline).await)
        });
        for (body, answer) in join_all(calls).await {
            assert_eq!(answer.header("shallotflow-outcome"), "done");
            assert_eq!(answer.body, body);
        }
        assert_eq!(worker.audit.record().violations.total(), 0);
    });
}

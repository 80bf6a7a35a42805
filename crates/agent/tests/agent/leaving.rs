//! Agents that leave.

use crate::support::{Agent, Entry, Script, Worker, request, run, until, worker_settings};
use futures_util::future::join;
use shallotflow_standin::facts::Board;

#[test]
fn a_leaving_agent_answers_what_is_in_progress() {
    run(async {
        let worker = Worker::start(worker_settings(), Board::default());
        let entry = Entry::start(Script::default());
        let mut agent = Agent::start(&worker, &entry);
        until("a report", || !entry.script().reports.is_empty()).await;
        let request = request(agent.address, "in progress", &[("standin-run-ms", "100")]);
        let stop = async {
            until("a start", || worker.board.facts().requests == 1).await;
            agent.leave().await.expect("a clean end");
        };
        let (answer, ()) = join(request, stop).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, "in progress");
        assert!(entry.script().reports.last().expect("a report").leaving);
    });
}

//! Runs that violated an invariant in earlier versions.

use super::world::{Step, World};

/// Runs `steps`, ends all failures and checks all invariants; returns the number of starts.
fn run(steps: &[Step]) -> usize {
    let mut world = World::started();
    for step in steps {
        world.step(*step);
    }
    world.recover();
    assert!(world.oracle.violations().is_empty(), "{:?}", world.oracle.violations());
    world.oracle.starts()
}

/// A job that may run only once completes at a worker whose agent then stops reporting. The owner
/// has a checkpoint of the job, but must not resume it.
#[test]
fn a_job_that_may_have_ended_does_not_resume_from_its_checkpoint() {
    let starts = run(&[
        Step::Submit(1),
        Step::Rounds(1),
        Step::Checkpoint { worker: 0, task: 0 },
        Step::Checkpoint { worker: 1, task: 0 },
        Step::Checkpoint { worker: 2, task: 0 },
        Step::Rounds(1),
        Step::Finish { worker: 0, task: 0, ok: true },
        Step::Finish { worker: 1, task: 0, ok: true },
        Step::Finish { worker: 2, task: 0, ok: true },
        Step::PauseAgent { agent: 0, millis: 9_000 },
        Step::PauseAgent { agent: 1, millis: 9_000 },
        Step::PauseAgent { agent: 2, millis: 9_000 },
        Step::Advance(3_000),
        Step::Rounds(1),
        Step::Advance(3_000),
        Step::Rounds(1),
    ]);
    assert_eq!(starts, 1);
}

/// As above, but the worker restarts and forgets that the job completed.
#[test]
fn a_job_whose_worker_restarted_does_not_resume_if_it_may_run_once() {
    let starts = run(&[
        Step::Submit(1),
        Step::Rounds(1),
        Step::Checkpoint { worker: 0, task: 0 },
        Step::Checkpoint { worker: 1, task: 0 },
        Step::Checkpoint { worker: 2, task: 0 },
        Step::Rounds(1),
        Step::Finish { worker: 0, task: 0, ok: true },
        Step::Finish { worker: 1, task: 0, ok: true },
        Step::Finish { worker: 2, task: 0, ok: true },
        Step::RestartWorker(0),
        Step::RestartWorker(1),
        Step::RestartWorker(2),
        Step::Rounds(1),
    ]);
    assert_eq!(starts, 1);
}

/// A start that never reaches its worker is refused once its lease has expired, and the job is
/// granted again.
#[test]
fn a_job_whose_start_and_stop_were_lost_runs_in_the_end() {
    let submit = [Step::Submit(0), Step::Write(0), Step::Write(1), Step::Write(2)];
    let mut steps = submit.to_vec();
    steps.push(Step::DeliverSome(20));
    steps.push(Step::DeliverSome(20));
    for agent in 0..3 {
        steps.extend([0, 1, 2].map(|entry| Step::Report { agent, entry }));
    }
    steps.push(Step::DeliverSome(20));
    steps.extend([0, 1, 2].map(Step::Write));
    steps.extend([Step::DeliverSome(20); 3]);
    for agent in 0..3 {
        steps.push(Step::TickAgent(agent));
        steps.push(Step::DeliverCommand { agent, lost: true });
    }
    steps.push(Step::Advance(5_500));
    for agent in 0..3 {
        steps.push(Step::TickAgent(agent));
        steps.push(Step::DeliverCommand { agent, lost: true });
    }
    assert!(run(&steps) >= 1);
}

//! Where the time of an ended job went.

use super::harness::{Harness, id, job, step, task};
use shallotflow_core::graph::Step;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::Event;
use shallotflow_policy::plan::message::ExitReason;
use std::time::Duration;

/// Two steps of one worker: the second task of the first step waits for room, and the run of the second
/// step fails once.
#[test]
fn the_parts_of_a_delay_add_up_to_the_time_of_the_job() {
    let mut harness = Harness::new(1);
    let after = Step { after: vec![0], ..step(1, 6_000) };
    harness.table.accept(id(1), job(vec![step(2, 6_000), after]), true, harness.now);
    let advance = |harness: &mut Harness, ms: u64| {
        harness.wait(Duration::from_millis(ms));
        harness.run_round();
    };
    advance(&mut harness, 0);
    advance(&mut harness, 1_000);
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.run_round();
    harness.run_round();
    advance(&mut harness, 3_000);
    harness.end(task(1, 0, 1), ExitReason::Done);
    harness.run_round();
    harness.run_round();
    advance(&mut harness, 500);
    harness.end(task(1, 1, 0), ExitReason::Failed);
    harness.run_round();
    harness.run_round();
    advance(&mut harness, 2_000);
    harness.end(task(1, 1, 0), ExitReason::Done);
    harness.run_round();
    let events = harness.table.take_events();
    let ended = events.iter().find_map(|event| match event {
        Event::Ended { queue, late, took_ms, last_task_ms, delay, .. } => {
            Some((queue.clone(), *late, *took_ms, *last_task_ms, *delay))
        }
        _ => None,
    });
    let (queue, late, took_ms, last_task_ms, delay) = ended.expect("the end of the job");
    assert_eq!((queue, late, took_ms), (Name::from("renders"), true, 6_500));
    assert_eq!(delay.no_room_ms, 1_000, "{delay:?}");
    assert_eq!(delay.earlier_runs_ms, 500, "{delay:?}");
    assert_eq!((delay.run_ms, delay.slowed_ms), (3_000, 2_000), "{delay:?}");
    let parts: u64 = delay.causes().iter().map(|(_, ms)| ms).sum::<u64>() + delay.run_ms;
    assert_eq!(parts, took_ms);
    assert_eq!(last_task_ms, 3_000);
}

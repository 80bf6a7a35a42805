//! Best-effort tasks beside serving tasks whose load rises: the agent slows them down, and the job
//! ends with its slowest task.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::Step;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::Settings;
use shallotflow_policy::plan::message::ExitReason;
use std::time::Duration;
use test_case::test_case;

const RUN_TIME_MS: u64 = 2_000;
const SLOW: u8 = 10;

fn best_effort(count: u32) -> Step {
    let estimate_ms = RUN_TIME_MS;
    let image = Some(Name::from("render"));
    Step { best_effort: true, checkpointing: true, estimate_ms, image, ..step(count, 2_000) }
}

/// The state of a run that its worker lists.
struct Listed {
    percent: u8,
    checkpoint: Option<&'static str>,
    pace: u8,
}

impl Listed {
    /// Lets a worker list the task so from now on, if it runs there.
    fn apply(&self, harness: &mut Harness, worker: usize) {
        let worker = harness.workers.get_mut(&name(worker)).expect("a worker");
        if let Some(run) = worker.running.get_mut(&task(1, 0, 0)) {
            run.percent = self.percent;
            run.checkpoint = self.checkpoint.map(Name::from);
            run.pace = self.pace;
        }
    }
}

const EARLY: Listed = Listed { percent: 10, checkpoint: Some("saved"), pace: SLOW };

/// Starts one best-effort task, lets its worker list it as `listed` for some seconds, and returns
/// the workers that ran it first and last.
fn worker_before_and_after(workers: usize, listed: &Listed) -> (usize, usize) {
    let mut harness = Harness::new(workers);
    harness.table.accept(id(1), job(vec![best_effort(1)]), true, harness.now);
    harness.run_round();
    let first = harness.worker_of(task(1, 0, 0)).expect("a run");
    for _ in 0..20 {
        listed.apply(&mut harness, first);
        harness.wait(Duration::from_millis(200));
        harness.report_all();
        harness.run_round();
    }
    (first, harness.worker_of(task(1, 0, 0)).expect("a run"))
}

#[test]
fn a_run_that_is_slowed_down_goes_on_at_a_worker_with_room() {
    let (first, last) = worker_before_and_after(2, &EARLY);
    assert_ne!(first, last);
}

#[test_case(1, EARLY; "no other worker has room")]
#[test_case(2, Listed { percent: 90, ..EARLY }; "little is left")]
#[test_case(2, Listed { percent: 60, checkpoint: None, ..EARLY }; "its work would be lost")]
#[test_case(2, Listed { pace: 60, ..EARLY }; "it is slowed down a little only")]
fn a_slowed_run_stays(workers: usize, listed: Listed) {
    let (first, last) = worker_before_and_after(workers, &listed);
    assert_eq!(first, last);
}

#[test]
fn a_moved_run_resumes_from_its_checkpoint_and_counts_no_attempt() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![best_effort(1)]), true, harness.now);
    harness.run_round();
    let first = harness.worker_of(task(1, 0, 0)).expect("a run");
    for _ in 0..20 {
        EARLY.apply(&mut harness, first);
        harness.wait(Duration::from_millis(200));
        harness.run_round();
    }
    let state = &harness.table.job(id(1)).expect("a job").tasks[0];
    assert_eq!(state.checkpoint.as_deref(), Some("saved"));
    assert!(state.failed.is_empty());
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    assert!(harness.table.job(id(1)).expect("a job").is_done());
}

#[test]
fn a_best_effort_task_avoids_a_worker_that_slows_its_image_down() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![best_effort(1)]), true, harness.now);
    harness.run_round();
    let slow = harness.worker_of(task(1, 0, 0)).expect("a run");
    // The other worker is used more.
    harness.table.accept(id(2), job(vec![step(1, 5_000)]), true, harness.now);
    harness.run_round();
    assert_ne!(harness.worker_of(task(2, 0, 0)), Some(slow));
    let worker = harness.workers.get_mut(&name(slow)).expect("a worker");
    for run in worker.running.values_mut() {
        run.pace = SLOW;
    }
    harness.report_all();
    harness.table.accept(id(3), job(vec![best_effort(1)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(3, 0, 0)), Some(1 - slow));
}

/// Returns when a job beside serving tasks ends, milliseconds.
///
/// Its eight tasks are spread over four workers, of which two run serving tasks. Their load rises for
/// ten seconds, and their agents slow the best-effort tasks down to a tenth of their speed.
fn end_of_a_job_beside_serving_tasks(settings: Settings) -> u64 {
    let mut harness = Harness::with_settings(settings, 4);
    for worker in harness.workers.values_mut().take(2) {
        worker.labels = vec![Name::from("counter")];
    }
    harness.report_all();
    let serving = Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from("quotes")),
        required_label: Some(Name::from("counter")),
        per_worker: 1,
        ..step(2, 1_000)
    };
    harness.table.accept(id(1), job(vec![serving]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![best_effort(8)]), true, harness.now);
    harness.run_round();
    let mut left_ms = [RUN_TIME_MS; 8];
    let mut elapsed_ms = 0;
    while left_ms.iter().any(|left| *left > 0) {
        elapsed_ms += 100;
        harness.wait(Duration::from_millis(100));
        let loaded = elapsed_ms < 10_000;
        let mut ended = Vec::new();
        for (number, worker) in harness.workers.values_mut().enumerate() {
            for (task, run) in &mut worker.running {
                if task.job == id(1) {
                    (run.percent, run.measurement) = (100, if loaded { 200 } else { 40 });
                    continue;
                }
                let left = &mut left_ms[task.index as usize];
                run.pace = if loaded && number < 2 { SLOW } else { 100 };
                run.measurement = 20 * u32::from(run.pace);
                *left = left.saturating_sub(u64::from(run.pace));
                run.percent =
                    u8::try_from((RUN_TIME_MS - *left) * 100 / RUN_TIME_MS).unwrap_or(100);
                run.checkpoint = Some(Name::from("saved"));
                if *left == 0 {
                    ended.push(*task);
                }
            }
        }
        for task in ended {
            harness.end(task, ExitReason::Done);
        }
        harness.report_all();
        harness.run_round();
    }
    elapsed_ms
}

#[test]
fn a_job_whose_tasks_can_move_ends_well_before_the_load_beside_it_falls() {
    let moved = end_of_a_job_beside_serving_tasks(Settings::default());
    assert!(moved <= 6_000, "{moved} ms");
    let kept = end_of_a_job_beside_serving_tasks(Settings { slow_pace: 0, ..Settings::default() });
    assert!(kept >= 10_000, "{kept} ms without moves");
}

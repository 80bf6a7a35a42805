//! Tasks that crash the workers that start them, and tasks that only ran there.

use super::harness::{Harness, TestWorker, id, job, name, step, task};
use shallotflow_core::graph::{Job, State, Step, Task};
use shallotflow_policy::plan::message::{
    Additions, Crash, CrashedRun, End, ExitReason, Incarnation, Report, Run, Status,
};
use shallotflow_policy::plan::{Phase, Progress, Table};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const ROUND: Duration = Duration::from_millis(100);

fn lasting() -> Step {
    Step { long_running: true, ..step(1, 1_000) }
}

fn gang() -> Step {
    Step { gang: true, ..step(3, 4_000) }
}

impl Harness {
    /// Runs rounds in which each worker that starts a task of the job `deadly` crashes; returns the
    /// number of starts of each task.
    fn run_with_crashes(&mut self, deadly: u64, rounds: usize) -> BTreeMap<Task, usize> {
        let mut starts = BTreeMap::new();
        for _ in 0..rounds {
            let before = self.running();
            self.run_round();
            for started in self.running().into_iter().filter(|task| !before.contains(task)) {
                *starts.entry(started).or_default() += 1;
            }
            for worker in self.workers.values_mut() {
                if worker.running.keys().any(|task| task.job == id(deadly)) {
                    worker.restart_worker();
                }
            }
            self.report_all();
            self.wait(ROUND);
            self.store();
        }
        starts
    }

    /// Records all due changes at once.
    fn store(&mut self) -> BTreeMap<u64, Progress> {
        let records = self.table.records(self.now, 100);
        for record in &records {
            self.table.mark_recorded(record.job, record.version);
        }
        records.into_iter().map(|record| (record.job.0, record.progress)).collect()
    }

    fn crash(&mut self, task: Task) {
        let number = self.worker_of(task).expect("a run of the task");
        self.crash_worker(number);
    }

    fn crash_worker(&mut self, number: usize) {
        self.workers.get_mut(&name(number)).expect("a worker").restart_worker();
        self.report_all();
    }

    /// Runs rounds until `task` runs.
    fn run_until(&mut self, task: Task) {
        for _ in 0..60 {
            self.store();
            self.run_round();
            if self.worker_of(task).is_some() {
                return;
            }
            self.wait(ROUND);
        }
        panic!("{task} never runs: {:?}", self.phase(task));
    }

    /// Lets the runs go on for `span`, with lists.
    fn go_on(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.wait(ROUND);
            self.report_all();
            self.store();
        }
    }
}

#[test_case(step(1, 1_000); "a task")]
#[test_case(lasting(); "a long-running task")]
#[test_case(gang(); "a gang")]
fn a_task_that_crashes_the_workers_that_start_it_is_given_up_after_two(step: Step) {
    let mut harness = Harness::new(6);
    harness.table.accept(id(1), job(vec![step]), true, harness.now);
    let starts = harness.run_with_crashes(1, 100);
    assert!(starts.values().all(|starts| *starts == 2), "{starts:?}");
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
}

#[test]
fn a_task_that_crashes_workers_beside_others_starts_at_most_four_times() {
    let mut harness = Harness::new(1);
    for number in 1..=8 {
        harness.table.accept(id(number), job(vec![step(1, 1_000)]), true, harness.now);
    }
    let starts = harness.run_with_crashes(1, 100);
    assert!(starts[&task(1, 0, 0)] <= 4, "{starts:?}");
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
    for number in 2..=8 {
        let state = harness.table.visible_state("renders", id(number));
        assert_eq!(state, Some(State::Running), "job {number}");
    }
    assert_eq!(harness.running().len(), 7);
}

/// Guards against a task that is given up with one true crash: of a run that had time to end, the end may
/// only not have been read before the worker restarted.
#[test_case(&[150, 150]; "both runs may have ended before")]
#[test_case(&[150, 0]; "the first run may have ended before")]
#[test_case(&[0, 150]; "the second run may have ended before")]
fn a_task_whose_run_may_have_ended_before_a_crash_is_given_up_after_three(ages_ms: &[u64]) {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for age_ms in ages_ms {
        harness.run_until(task(1, 0, 0));
        harness.wait(Duration::from_millis(*age_ms));
        harness.crash(task(1, 0, 0));
    }
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, None);
    harness.run_until(task(1, 0, 0));
    harness.wait(Duration::from_millis(150));
    harness.crash(task(1, 0, 0));
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, Some(State::Failed));
}

#[test]
fn a_run_that_resumed_from_a_checkpoint_may_end_at_once() {
    let mut harness = Harness::new(2);
    let progress = Progress { checkpoints: vec![(0, "half".into())], ..Progress::default() };
    let resumed = job(vec![step(1, 1_000)]);
    harness.table.load(id(1), resumed, Some(&progress), true, harness.now);
    for _ in 0..2 {
        harness.run_until(task(1, 0, 0));
        harness.crash(task(1, 0, 0));
    }
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, None);
}

#[test]
fn a_suspect_starts_only_once_its_crash_is_recorded() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.crash(task(1, 0, 0));
    for _ in 0..30 {
        harness.run_round();
        harness.wait(ROUND);
    }
    assert!(harness.running().is_empty(), "the store has not answered");
    harness.run_until(task(1, 0, 0));
}

#[test]
fn the_next_owner_knows_the_crashes() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.crash(task(1, 0, 0));
    let progress = harness.store().remove(&1);
    let stored = serde_json::to_string(&progress).expect("json");
    let progress: Progress = serde_json::from_str(&stored).expect("a progress");
    let mut next = Harness::owner(2, 2, Vec::new());
    next.table.load(id(1), job(vec![step(1, 1_000)]), Some(&progress), false, next.now);
    next.report_all();
    let starts = next.run_with_crashes(1, 40);
    assert_eq!(starts[&task(1, 0, 0)], 1);
    assert_eq!(next.table.visible_state("renders", id(1)), Some(State::Failed));
}

#[test]
fn a_crash_that_is_seen_as_a_vacancy_and_as_a_new_incarnation_counts_once() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    let number = harness.worker_of(task(1, 0, 0)).expect("a run");
    report_vacancy(&mut harness, number);
    harness.crash(task(1, 0, 0));
    harness.run_until(task(1, 0, 0));
    assert_eq!(harness.store().remove(&1).unwrap_or_default().state, State::Queued);
    let job = harness.table.job(id(1)).expect("a job");
    assert_eq!((job.tasks[0].crashed.len(), job.ended), (1, None));
}

fn report_vacancy(harness: &mut Harness, number: usize) {
    let worker = harness.workers.get_mut(&name(number)).expect("a worker");
    let mut report = worker.report(&name(number), 1);
    (report.vacant, report.complete, report.running) = (true, false, None);
    harness.table.apply_report(report, harness.now);
}

#[test_case(Status::Draining { remaining_ms: 500 }; "a worker that leaves as announced")]
#[test_case(Status::Empty; "a worker whose last lease has ended")]
fn the_runs_of_a_worker_that_has_not_crashed_count_no_crash(status: Status) {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for _ in 0..6 {
        harness.run_until(task(1, 0, 0));
        let number = harness.worker_of(task(1, 0, 0)).expect("a run");
        harness.workers.get_mut(&name(number)).expect("a worker").status = status;
        harness.report(number);
        report_vacancy(&mut harness, number);
        let worker = harness.workers.get_mut(&name(number)).expect("a worker");
        worker.restart_worker();
        worker.status = Status::Ready;
        harness.report(number);
    }
    harness.run_until(task(1, 0, 0));
}

#[test]
fn a_start_that_a_crashed_worker_may_not_have_carried_out_is_no_cause() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for _ in 0..3 {
        harness.tick();
        harness.report_all();
        let started = |worker: &TestWorker| !worker.orders.is_empty();
        let number = harness.workers.values().position(started).expect("an order");
        harness.workers.values_mut().for_each(|worker| worker.orders.clear());
        report_vacancy(&mut harness, number);
        harness.crash_worker(number);
        harness.wait(ROUND);
        harness.store();
    }
    harness.run_until(task(1, 0, 0));
    harness.crash(task(1, 0, 0));
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, Some(State::Failed), "four crashes");
}

#[test]
fn a_run_that_outlives_its_start_clears_its_task() {
    let mut harness = Harness::new(3);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_until(task(1, 0, 0));
    harness.crash(task(1, 0, 0));
    harness.run_until(task(1, 0, 0));
    harness.go_on(Duration::from_secs(1));
    for _ in 0..2 {
        harness.crash(task(1, 0, 0));
        harness.run_until(task(1, 0, 0));
    }
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, None);
}

#[test]
fn a_task_is_given_up_after_four_crashes_however_long_it_runs() {
    let mut harness = Harness::new(3);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for _ in 0..4 {
        harness.run_until(task(1, 0, 0));
        harness.go_on(Duration::from_secs(2));
        harness.crash(task(1, 0, 0));
    }
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, Some(State::Failed));
}

#[test]
fn a_run_that_has_made_progress_counts_no_crash() {
    let mut harness = Harness::new(3);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for _ in 0..8 {
        harness.run_until(task(1, 0, 0));
        let number = harness.worker_of(task(1, 0, 0)).expect("a run");
        let worker = harness.workers.get_mut(&name(number)).expect("a worker");
        worker.running.get_mut(&task(1, 0, 0)).expect("a run").percent = 1;
        harness.go_on(Duration::from_secs(1));
        harness.crash(task(1, 0, 0));
    }
    harness.run_until(task(1, 0, 0));
}

#[test]
fn a_long_running_task_survives_any_number_of_workers() {
    let mut harness = Harness::new(3);
    harness.table.accept(id(1), job(vec![lasting()]), true, harness.now);
    for _ in 0..12 {
        harness.run_until(task(1, 0, 0));
        harness.go_on(Duration::from_secs(2));
        harness.crash(task(1, 0, 0));
    }
    harness.run_until(task(1, 0, 0));
}

#[test]
fn nothing_starts_beside_a_suspect_and_its_job_waits() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(6, 4_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
    harness.crash(task(1, 0, 0));
    harness.table.accept(id(2), job(vec![step(8, 100)]), true, harness.now);
    let first = task(1, 0, 0);
    let second = task(1, 0, 2);
    let (mut rounds, mut on_trial) = (0, None);
    while on_trial.is_none() && rounds < 30 {
        harness.wait(ROUND);
        harness.store();
        harness.run_round();
        rounds += 1;
        on_trial = [first, second].into_iter().find(|task| harness.worker_of(*task).is_some());
    }
    let suspect = on_trial.expect("a suspect starts");
    let number = harness.worker_of(suspect).expect("a run");
    let count = |harness: &Harness| harness.workers[&name(number)].running.len();
    let before = count(&harness);
    harness.table.accept(id(3), job(vec![step(8, 100)]), true, harness.now);
    for _ in 0..5 {
        harness.wait(ROUND);
        harness.store();
        harness.run_round();
        assert_eq!(count(&harness), before, "{:?}", harness.running());
    }
    assert_eq!(harness.running().iter().filter(|task| task.job == id(3)).count(), 8);
    harness.go_on(Duration::from_millis(800));
    harness.run_round();
    assert_eq!(harness.running().iter().filter(|task| task.job == id(1)).count(), 4);
}

#[test]
fn tasks_that_were_lost_with_many_workers_wait_little_for_each_other() {
    let mut harness = Harness::new(24);
    for number in 1..=60 {
        harness.table.accept(id(number), job(vec![step(2, 1_500)]), true, harness.now);
    }
    harness.run_round();
    assert_eq!(harness.running().len(), 120);
    for number in 0..12 {
        harness.workers.get_mut(&name(number)).expect("a worker").restart_worker();
    }
    harness.report_all();
    harness.wait(ROUND);
    harness.store();
    for _ in 0..25 {
        harness.run_round();
        harness.wait(ROUND);
        harness.store();
    }
    assert_eq!(harness.running().len(), 120);
    assert!(harness.table.jobs().all(|job| job.ended.is_none()));
}

#[test]
fn progress_of_an_earlier_release_can_be_read() {
    let stored =
        r#"{"state":"running","ended_ms":0,"done":[],"failed":[[0,[1]]],"checkpoints":[]}"#;
    let progress: Progress = serde_json::from_str(stored).expect("a progress");
    let mut harness = Harness::new(1);
    let job: Job = job(vec![step(1, 1_000)]);
    Table::load(&mut harness.table, id(1), job, Some(&progress), true, harness.now);
    harness.run_until(task(1, 0, 0));
}

/// Returns the numbers of the runs of `task` under which a worker crashed.
fn crashes(harness: &Harness, task: Task) -> Vec<u32> {
    let job = harness.table.job(task.job).expect("a job");
    job.tasks[job.position(&task).expect("a task")].crashed.clone()
}

#[test_case(false ; "the worker crashes at once")]
#[test_case(true ; "the worker shrinks and crashes then")]
fn a_start_that_its_agent_has_not_received_counts_no_crash(shrinks: bool) {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 6_000)]), true, harness.now);
    harness.tick();
    if shrinks {
        harness.worker(0).resize(4_000);
        harness.report(0);
        assert!(matches!(harness.phase(task(1, 0, 0)), Phase::Stopping { .. }));
    }
    harness.crash_worker(0);
    assert!(crashes(&harness, task(1, 0, 0)).is_empty());
}

#[test]
fn a_worker_that_is_silent_since_its_agent_has_started_again_has_not_crashed() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.worker(0).restart_agent();
    let mut report = harness.worker(0).report(&name(0), 1);
    (report.vacant, report.complete, report.running) = (true, false, None);
    (report.incarnation, report.worker) = (None, None);
    harness.table.apply_report(report, harness.now);
    assert!(crashes(&harness, task(1, 0, 0)).is_empty());
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Waiting);
}

/// Guards against a crash that nobody counts since the agent has restarted just after it. A loss of power
/// takes both, so such a crash makes no task suspect.
#[test]
fn a_worker_that_is_gone_since_its_agent_has_started_again_has_crashed() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.worker(0).restart_agent();
    let mut report = harness.worker(0).report(&name(0), 1);
    (report.vacant, report.complete, report.running) = (true, false, None);
    (report.incarnation, report.worker) = (None, None);
    report.additions.gone = true;
    harness.table.apply_report(report, harness.now);
    assert_eq!(crashes(&harness, task(1, 0, 0)), [1]);
    let state = &harness.table.job(id(1)).expect("a job").tasks[0];
    assert!(state.suspected.is_empty());
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Waiting);
}

#[test]
fn a_suspect_does_not_start_beside_a_run_of_an_ended_job_that_may_be_young() {
    let mut harness = Harness::owner(2, 1, Vec::new());
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    harness.table.cancel(id(1), harness.now);
    let progress = Progress {
        crashed: vec![(0, vec![1])],
        suspected: vec![(0, vec![1])],
        ..Progress::default()
    };
    let second = job(vec![step(1, 1_000)]);
    harness.table.load(id(2), second, Some(&progress), false, harness.now);
    let (percent, run) = (0, 1);
    let active =
        Run { task: task(1, 0, 0), run, checkpoint: None, percent, measurement: 0, pace: 100 };
    harness.worker(0).running.insert(task(1, 0, 0), active);
    harness.report_all();
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), []);
    harness.execute_orders();
    harness.go_on(Duration::from_millis(900));
    harness.run_until(task(2, 0, 0));
}

#[test]
fn a_trial_ends_when_another_run_has_done_the_task() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_until(task(1, 0, 0));
    harness.crash(task(1, 0, 0));
    harness.run_until(task(1, 0, 0));
    let other = 1 - harness.worker_of(task(1, 0, 0)).expect("a run");
    let (number, reason) = (1, ExitReason::Done);
    let end = End { number, task: task(1, 0, 0), run: 0, reason, checkpoint: None };
    harness.worker(other).ends.push(end);
    harness.report(other);
    assert_eq!(harness.table.audit(harness.now, &harness.holders), Ok(()));
}

/// Reports crashes of the worker of agent 0, each under a run of the task 0 that began just before.
fn report_crashes(harness: &mut Harness, runs: &[u32]) -> u64 {
    let crashes: Vec<_> = (1..).zip(runs).map(|(started, run)| (started, 1, *run)).collect();
    report_crashes_of(harness, &crashes)
}

/// Reports crashes of incarnations by their start, each under a run of the task 0 of a job.
fn report_crashes_of(harness: &mut Harness, crashes: &[(u64, u64, u32)]) -> u64 {
    let crash = |(started_ms, job, run): &(u64, u64, u32)| Crash {
        incarnation: Incarnation { id: name(0), started_ms: *started_ms },
        runs: vec![CrashedRun {
            task: task(*job, 0, 0),
            run: *run,
            carried_out: true,
            outlived_ms: 9,
        }],
        ends: Vec::new(),
    };
    let epoch = harness.table.epoch();
    let worker = harness.worker(0);
    worker.restart_worker();
    let report = worker.report(&name(0), epoch);
    let crashes = crashes.iter().map(crash).collect();
    harness.table.apply_report(
        Report { additions: Additions { crashes, ..Additions::default() }, ..report },
        harness.now,
    );
    harness.table.reply(&name(0)).crashes_recorded_ms
}

/// Guards against an owner that is replaced before it records a crash, which only the agent knows then.
#[test]
fn a_crash_that_only_the_agent_has_seen_counts_and_is_confirmed_once_recorded() {
    let mut harness = Harness::owner(2, 1, vec![name(0)]);
    harness.table.load(id(1), job(vec![step(1, 1_000)]), None, false, harness.now);
    assert_eq!(report_crashes(&mut harness, &[5]), 0, "the crash is not recorded yet");
    assert_eq!(crashes(&harness, task(1, 0, 0)), [5]);
    assert_eq!(report_crashes(&mut harness, &[5]), 0);
    assert_eq!(crashes(&harness, task(1, 0, 0)), [5], "a repeated report counts once");
    assert_eq!(harness.table.holders().len(), 1, "a successor has to wait for the agent's report");
    harness.tick();
    assert_eq!(harness.ordered_starts(0), [], "a suspect starts only once its crash is recorded");
    let recorded = harness.store();
    assert_eq!(recorded[&1].suspected, [(0, vec![5])]);
    assert_eq!(report_crashes(&mut harness, &[5]), 1);
    assert_eq!(report_crashes(&mut harness, &[5, 6]), 1, "the next crash is not recorded");
}

/// Guards against a crash that counts as recorded before it is, or stays unconfirmed, since the clock of the
/// machine was set back between two starts of its worker.
#[test]
fn crashes_are_confirmed_in_the_order_in_which_they_are_reported() {
    let mut harness = Harness::owner(2, 1, vec![name(0)]);
    harness.table.load(id(1), job(vec![step(1, 1_000)]), None, false, harness.now);
    // Nothing is to be recorded for the second crash, since its job is not known.
    let crashes = [(9, 1, 5), (8, 77, 6)];
    assert_eq!(report_crashes_of(&mut harness, &crashes), 0, "the first is not recorded yet");
    harness.store();
    assert_eq!(report_crashes_of(&mut harness, &crashes), 8);
    let crashes = [(9, 1, 5), (7, 1, 1_025)];
    assert_eq!(report_crashes_of(&mut harness, &crashes), 9, "the second is not recorded yet");
    assert_eq!(harness.table.holders().len(), 1, "a successor has to wait for the agent's report");
}

/// Guards against a task that starts under one owner after the other, each of which sees one crash.
#[test]
fn a_task_is_given_up_for_crashes_that_only_the_agent_has_seen() {
    let mut harness = Harness::owner(4, 1, vec![name(0)]);
    harness.table.load(id(1), job(vec![step(1, 1_000)]), None, false, harness.now);
    report_crashes(&mut harness, &[1, 1_025]);
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, None);
    report_crashes(&mut harness, &[1, 1_025, 2_049]);
    assert_eq!(harness.table.job(id(1)).expect("a job").ended, Some(State::Failed));
}

/// Restarts worker 0 after its run of the task 0 has ended for `reason`, which the agent read and could
/// not report before. The crash is reported three times, as until its confirmation.
fn restart_after_end(harness: &mut Harness, reason: ExitReason) {
    let (incarnation, epoch) = (
        Incarnation { id: name(0), started_ms: harness.worker(0).started_ms },
        harness.table.epoch(),
    );
    let worker = harness.worker(0);
    worker.end(task(1, 0, 0), reason);
    let ends = std::mem::take(&mut worker.ends);
    worker.restart_worker();
    for _ in 0..3 {
        let crashes =
            vec![Crash { incarnation: incarnation.clone(), runs: Vec::new(), ends: ends.clone() }];
        let report = harness.worker(0).report(&name(0), epoch);
        harness.table.apply_report(
            Report { additions: Additions { crashes, ..Additions::default() }, ..report },
            harness.now,
        );
    }
}

/// Guards against a run that is done just before its worker restarts and counts as a crash.
#[test]
fn a_run_that_was_done_before_its_worker_crashed_counts_no_crash_and_starts_no_more() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(2, 1_000)]), true, harness.now);
    harness.run_round();
    restart_after_end(&mut harness, ExitReason::Done);
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Done);
    assert_eq!(crashes(&harness, task(1, 0, 0)), [0_u32; 0]);
    assert_eq!(crashes(&harness, task(1, 0, 1)), [1], "the other run was lost with the worker");
    assert_eq!(harness.table.reply(&name(0)).crashes_recorded_ms, 0);
    let recorded = harness.store();
    assert_eq!(recorded[&1].done, [(0, 0)]);
    assert_eq!(harness.table.reply(&name(0)).crashes_recorded_ms, 1);
}

/// Guards against failed runs that are lost or counted twice when their worker crashes.
#[test]
fn a_run_that_had_failed_before_its_worker_crashed_counts_as_one_failure() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    restart_after_end(&mut harness, ExitReason::Failed);
    let job = harness.table.job(id(1)).expect("a job");
    assert_eq!((&job.tasks[0].failed[..], &job.tasks[0].crashed[..]), (&[1][..], &[][..]));
    assert_eq!(job.ended, None);
}

/// Guards against an end that is recorded after its task has started again.
#[test]
fn an_end_at_a_crashed_worker_changes_nothing_once_the_task_has_started_again() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.worker(0).restart_worker();
    harness.report_all();
    harness.run_until(task(1, 0, 0));
    let ends = vec![End {
        number: 1,
        task: task(1, 0, 0),
        run: 1,
        reason: ExitReason::Done,
        checkpoint: None,
    }];
    let incarnation = Incarnation { id: name(0), started_ms: 1 };
    let report = harness.worker(0).report(&name(0), 1);
    let crashes = vec![Crash { incarnation, runs: Vec::new(), ends }];
    harness.table.apply_report(
        Report { additions: Additions { crashes, ..Additions::default() }, ..report },
        harness.now,
    );
    assert!(matches!(harness.phase(task(1, 0, 0)), Phase::Running { run: 2, .. }));
}

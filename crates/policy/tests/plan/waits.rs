//! The rule that holds each task which does not run, and what is logged of that.

use super::fuzz::{self, SEEDS, STEPS};
use super::harness::{Harness, id, job, name, step, task};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_core::graph::{Queue, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_policy::disturbance::Rates;
use shallotflow_policy::plan::message::{Answer, ExitReason, Outcome, Run, Status};
use shallotflow_policy::plan::waits::{Bounds, Change, Group, Journal, Reason, Report, Scope};
use shallotflow_policy::plan::{Phase, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;

const LOGGED_FROM: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Harness {
    fn waits(&self) -> Report {
        self.waits_within(None, Bounds::default())
    }

    fn waits_within(&self, after: Option<u64>, bounds: Bounds) -> Report {
        let after = after.map(id);
        let (now, holders) = (self.now, &self.holders);
        self.table.waits(&Scope { now, holders, may_start: true, after, bounds })
    }

    /// Returns the reasons and the numbers of tasks of the first step of a job.
    fn reasons(&self, job: u64) -> Vec<(Reason, u32)> {
        let groups = self.waits().groups;
        let own = groups.iter().filter(|group| group.task.job == id(job) && group.task.step == 0);
        own.map(|group| (group.reason, group.tasks)).collect()
    }

    /// Returns the only group of a job.
    fn group(&self, job: u64) -> Group {
        let groups = self.waits().groups;
        let own: Vec<Group> =
            groups.into_iter().filter(|group| group.task.job == id(job)).collect();
        assert_eq!(own.len(), 1, "{own:?}");
        own.into_iter().next().expect("a group")
    }

    fn accept(&mut self, job_number: u64, step: Step) {
        self.table.accept(id(job_number), job(vec![step]), true, self.now);
    }

    /// Records all due changes at once.
    fn record_at_once(&mut self) {
        for record in self.table.records(self.now, 100) {
            self.table.mark_recorded(record.job, record.version);
        }
    }

    fn restart_worker(&mut self, number: usize) {
        self.worker(number).restart_worker();
        self.report_all();
    }
}

fn gang(count: u32, millicores: u32) -> Step {
    Step { gang: true, ..step(count, millicores) }
}

fn best_effort(count: u32, millicores: u32, image: &str) -> Step {
    Step { best_effort: true, image: Some(Name::from(image)), ..step(count, millicores) }
}

fn run(task: Task) -> Run {
    Run { task, run: 1, checkpoint: None, percent: 10, measurement: 0, pace: 100 }
}

#[test]
fn each_reason_has_one_name_in_logs_and_metrics() {
    let names: BTreeSet<&str> = Reason::ALL.iter().map(|reason| reason.as_str()).collect();
    assert_eq!(names.len(), Reason::ALL.len());
    for reason in Reason::ALL {
        let written = serde_json::to_value(reason).expect("a name");
        assert_eq!(written, reason.as_str());
    }
}

#[test]
fn a_task_that_runs_is_not_reported() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(2, 1_000));
    harness.run_round();
    assert_eq!(harness.waits(), Report::default());
}

#[test]
fn a_task_whose_step_is_not_open_is_not_reported() {
    let mut harness = Harness::new(1);
    let second = Step { after: vec![0], ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![step(1, 1_000), second]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.waits().groups, []);
}

#[test]
fn a_task_that_may_run_at_an_agent_waits_for_its_report_or_lease() {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(3, 1_000)]), false, harness.now);
    harness.report(0);
    let group = harness.group(1);
    assert_eq!((group.reason, group.tasks), (Reason::Uncertain, 3));
    assert_eq!((group.agents, group.agent_count), (vec![name(1)], 1));
    assert_eq!(group.until, Some(harness.now.after(ms(7_200))));
}

#[test]
fn the_agents_that_are_waited_for_are_counted_and_some_are_named() {
    let missing: Vec<Name> = (0..9).map(name).collect();
    let mut harness = Harness::owner(2, 9, missing);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    let group = harness.group(1);
    assert_eq!((group.agents.len(), group.agent_count), (Group::MAX_AGENTS, 9));
}

#[test]
fn a_start_is_awaited_until_it_is_withdrawn() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    harness.tick();
    let group = harness.group(1);
    assert_eq!((group.reason, group.agents), (Reason::Starting, vec![name(0)]));
    assert_eq!(group.until, Some(harness.now.after(ms(700))));
}

#[test]
fn a_stop_without_an_end_is_reported_with_its_agent_and_no_bound() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    let accepted = harness.now;
    harness.tick();
    harness.wait(ms(800));
    harness.tick();
    harness.wait(ms(5_000));
    let group = harness.group(1);
    assert_eq!((group.reason, group.agents, group.until), (Reason::Stopping, vec![name(0)], None));
    assert_eq!(group.since, accepted, "the start that failed began no new wait");
}

#[test]
fn a_failed_task_pauses() {
    let mut harness = Harness::new(1);
    harness.accept(1, Step { long_running: true, ..step(1, 1_000) });
    harness.run_round();
    harness.end(task(1, 0, 0), ExitReason::Failed);
    harness.report_all();
    harness.tick();
    let group = harness.group(1);
    assert_eq!(group.reason, Reason::Retry);
    assert!(group.until.is_some_and(|until| until > harness.now));
}

#[test]
fn a_task_whose_starts_are_refused_has_waited_since_it_could_run() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    let accepted = harness.now;
    for _ in 0..20 {
        harness.tick();
        harness.report_all();
        let refuse = |order: shallotflow_policy::plan::message::Order| Answer {
            task: order.task,
            run: order.run,
            outcome: Outcome::Unhealthy,
        };
        let worker = harness.worker(0);
        let answers: Vec<Answer> = worker.orders.drain(..).map(refuse).collect();
        worker.answers.extend(answers);
        harness.report_all();
        harness.wait(ms(300));
        harness.report_all();
    }
    let group = harness.group(1);
    assert_eq!(group.since, accepted);
    assert_eq!(group.reason, Reason::Refused, "its only worker is paused by now");
}

#[test]
fn a_suspect_waits_for_the_record_of_its_crash_and_then_for_a_trial() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    harness.run_round();
    harness.restart_worker(0);
    assert_eq!(harness.reasons(1), [(Reason::Unrecorded, 1)]);
    harness.record_at_once();
    let group = harness.group(1);
    assert_eq!(group.reason, Reason::Trial);
    assert!(group.until.is_some_and(|until| until > harness.now));
}

#[test]
fn the_other_tasks_of_a_job_are_held_for_its_suspect() {
    let mut harness = Harness::new(2);
    harness.accept(1, step(3, 6_000));
    harness.run_round();
    harness.restart_worker(0);
    harness.record_at_once();
    assert_eq!(harness.reasons(1), [(Reason::Trial, 1), (Reason::Held, 1)]);
}

#[test]
fn no_task_starts_beside_one_on_trial() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    harness.run_round();
    harness.restart_worker(0);
    harness.record_at_once();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
    harness.accept(2, step(2, 1_000));
    harness.tick();
    let group = harness.group(2);
    assert_eq!((group.reason, group.tasks, group.agents), (Reason::Kept, 2, vec![name(0)]));
    assert!(group.until.is_some_and(|until| until > harness.now));
}

#[test]
fn a_member_of_a_gang_waits_for_the_others() {
    let mut harness = Harness::new(2);
    harness.accept(1, gang(2, 6_000));
    harness.run_round();
    harness.end(task(1, 0, 0), ExitReason::Lapsed);
    harness.report_all();
    harness.tick();
    assert_eq!(harness.reasons(1), [(Reason::Gang, 1)]);
}

#[test]
fn a_gang_waits_for_room_for_all_members() {
    let mut harness = Harness::new(1);
    harness.accept(1, gang(2, 6_000));
    harness.tick();
    assert_eq!(harness.reasons(1), [(Reason::GangRoom, 2)]);
}

#[test]
fn a_job_that_would_miss_its_objective_is_postponed() {
    let settings = Settings { opens_jobs: true, ..Settings::default() };
    let mut harness = Harness::with_settings(settings, 1);
    for number in 1..=2 {
        let mut job = job(vec![best_effort(40, 6_000, "proof")]);
        job.queue = Queue { target_ms: 1_000, stretch: 2.0, ..job.queue };
        harness.table.accept(id(number), job, true, harness.now);
        harness.run_round();
    }
    assert!(harness.reasons(2).contains(&(Reason::Postponed, 40)), "{:?}", harness.waits());
}

#[test]
fn a_repetition_waits_until_it_is_due() {
    let mut harness = Harness::new(1);
    let mut repeated = job(vec![step(2, 1_000)]);
    repeated.spec.repetitions = 3;
    repeated.spec.first_due_ms = harness.now.as_millis();
    repeated.spec.interval_ms = 60_000;
    harness.table.accept(id(1), repeated, true, harness.now);
    harness.run_round();
    let group = harness.group(1);
    assert_eq!((group.reason, group.tasks, group.task.occurrence), (Reason::NotDue, 2, 1));
    assert_eq!(group.until, Some(harness.now.after(ms(60_000))));
}

#[test]
fn a_repetition_has_waited_since_it_was_due() {
    let mut harness = Harness::new(1);
    let mut repeated = job(vec![step(1, 20_000)]);
    repeated.spec.repetitions = 1;
    repeated.spec.first_due_ms = harness.now.after(ms(5_000)).as_millis();
    harness.table.accept(id(1), repeated, true, harness.now);
    harness.wait(ms(6_000));
    harness.report_all();
    harness.tick();
    let group = harness.group(1);
    assert_eq!(group.reason, Reason::Unsuited);
    assert_eq!(group.since, harness.now.before(ms(1_000)));
}

#[test]
fn a_task_waits_for_a_slot_in_the_rack_of_its_data() {
    let settings = Settings { spread_factor: 3.0, ..Settings::default() };
    let mut harness = Harness::with_settings(settings, 2);
    for number in 0..2 {
        harness.worker(number).rack = Some(Name::from(format!("rack-{number}")));
    }
    harness.report_all();
    let near = |count| Step { data_rack: Some(Name::from("rack-0")), ..step(count, 5_000) };
    harness.accept(1, near(2));
    harness.run_round();
    harness.wait(ms(500));
    harness.report_all();
    harness.accept(2, near(1));
    harness.tick();
    let group = harness.group(2);
    assert_eq!(group.reason, Reason::Rack);
    assert!(group.until.is_some_and(|until| until > harness.now));
}

#[test_case(6_000, Settings::default().disturbance_wait, ms(0) ; "most processors are in use")]
#[test_case(4_000, Settings::default().idle_wait, ms(200) ; "nothing of its job runs and half of them idle")]
fn a_task_that_would_disturb_serving_tasks_waits_for_a_while(
    serving: u32,
    wait: Duration,
    begins_after: Duration,
) {
    let mut harness = Harness::new(1);
    let mut rates = Rates::default();
    rates.set(&"watch".into(), Some(&"proof".into()), 6.0);
    harness.table.restore_rates(rates);
    let serving = Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from("watch")),
        ..step(1, serving)
    };
    harness.accept(1, serving);
    harness.run_round();
    harness.accept(2, best_effort(3, 2_000, "proof"));
    let accepted = harness.now;
    harness.wait(Settings::default().starvation_interval);
    harness.tick();
    let group = harness.group(2);
    assert_eq!((group.reason, group.tasks), (Reason::Disturbing, 3));
    assert_eq!(group.until, Some(accepted.after(begins_after).after(wait)));
}

#[test]
fn a_task_that_has_waited_as_long_as_it_may_does_not_wait_for_one_that_was_released_just_now() {
    let mut harness = Harness::new(1);
    harness.accept(1, best_effort(2, 6_000, "proof"));
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
    let mut rates = Rates::default();
    rates.set(&"watch".into(), Some(&"proof".into()), 6.0);
    harness.table.restore_rates(rates);
    let serving = Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from("watch")),
        ..step(1, 4_000)
    };
    harness.accept(2, serving);
    harness.run_round();
    let wait = Settings::default().disturbance_wait;
    for _ in 0..40 {
        harness.wait(wait / 40);
        harness.report_all();
    }
    harness.end(task(1, 0, 0), ExitReason::Lapsed);
    harness.report_all();
    harness.tick();
    assert!(matches!(harness.phase(task(1, 0, 1)), Phase::Starting { .. }));
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Waiting);
}

#[test]
fn a_limit_for_each_worker_holds_the_tasks_beyond_it() {
    let mut harness = Harness::new(1);
    harness.accept(1, Step { per_worker: 1, ..step(3, 1_000) });
    harness.run_round();
    assert_eq!(harness.reasons(1), [(Reason::WorkerLimit, 2)]);
}

#[test]
fn a_best_effort_task_waits_for_idle_processors() {
    let mut harness = Harness::new(1);
    harness.accept(1, best_effort(3, 6_000, "proof"));
    harness.run_round();
    assert_eq!(harness.reasons(1), [(Reason::Busy, 2)]);
}

#[test]
fn an_agent_gets_nothing_before_the_store_lists_it() {
    let mut harness = Harness::new(2);
    harness.holders.clear();
    harness.accept(1, step(1, 1_000));
    harness.tick();
    let group = harness.group(1);
    assert_eq!((group.reason, group.agent_count), (Reason::HolderUnrecorded, 2));
}

#[test]
fn a_worker_that_refused_a_start_gets_nothing_for_a_while() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    harness.tick();
    harness.report_all();
    let order = harness.worker(0).orders.remove(0);
    let answer = Answer { task: order.task, run: order.run, outcome: Outcome::NoRoom };
    harness.worker(0).answers.push(answer);
    harness.report_all();
    harness.accept(2, step(1, 1_000));
    harness.tick();
    let group = harness.group(2);
    assert_eq!((group.reason, group.agents), (Reason::Refused, vec![name(0)]));
    assert_eq!(group.until, Some(harness.now.after(ms(200))));
}

#[test]
fn an_ejected_worker_gets_nothing_until_its_ejection_ends() {
    let mut harness = Harness::new(1);
    for number in 1..=3 {
        harness.accept(number, step(1, 1_000));
    }
    harness.run_round();
    for number in 1..=3 {
        harness.end(task(number, 0, 0), ExitReason::Failed);
    }
    harness.report_all();
    harness.tick();
    let group = harness.group(1);
    assert_eq!(group.reason, Reason::Ejected);
    assert_eq!(group.until, Some(harness.now.after(ms(4_000))));
}

#[test]
fn a_silent_agent_gets_nothing() {
    let mut harness = Harness::new(1);
    harness.wait(ms(1_400));
    harness.accept(1, step(1, 1_000));
    harness.tick();
    assert_eq!(harness.reasons(1), [(Reason::Silent, 1)]);
}

#[test]
fn a_worker_that_leaves_gets_nothing() {
    let mut harness = Harness::new(1);
    harness.worker(0).status = Status::Draining { remaining_ms: 60_000 };
    harness.report_all();
    harness.accept(1, step(1, 1_000));
    harness.tick();
    assert_eq!(harness.reasons(1), [(Reason::Unready, 1)]);
}

#[test]
fn the_workers_of_an_evacuated_domain_get_nothing() {
    let mut harness = Harness::new(1);
    harness.worker(0).failure_domain = Name::from("east");
    harness.report_all();
    harness.table.set_evacuated(BTreeMap::from([(Name::from("east"), 7)]), harness.now);
    harness.accept(1, step(1, 1_000));
    harness.tick();
    assert_eq!(harness.reasons(1), [(Reason::Evacuated, 1)]);
}

#[test]
fn a_worker_with_a_run_of_unknown_need_gets_nothing() {
    let mut harness = Harness::new(1);
    harness.worker(0).running.insert(task(9, 0, 0), run(task(9, 0, 0)));
    harness.report_all();
    harness.accept(1, step(1, 1_000));
    harness.tick();
    let group = harness.group(1);
    assert_eq!((group.reason, group.agents), (Reason::UnknownRun, vec![name(0)]));
    assert_eq!(harness.waits().remnants, 1);
}

#[test]
fn tasks_wait_for_room() {
    let mut harness = Harness::new(2);
    harness.accept(1, step(5, 6_000));
    harness.run_round();
    assert_eq!(harness.reasons(1), [(Reason::NoRoom, 3)]);
}

#[test]
fn a_task_that_exceeds_every_worker_is_told_from_one_that_waits_for_room() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(2, 6_000));
    harness.accept(2, step(1, 20_000));
    harness.accept(3, Step { required_label: Some(Name::from("large")), ..step(1, 7_000) });
    harness.run_round();
    assert_eq!(harness.reasons(1), [(Reason::NoRoom, 1)]);
    assert_eq!(harness.reasons(2), [(Reason::Unsuited, 1)]);
    assert_eq!(harness.reasons(3), [(Reason::Unsuited, 1)]);
}

#[test]
fn nothing_starts_while_the_owner_may_have_a_successor() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    let (now, holders, bounds) = (harness.now, &harness.holders, Bounds::default());
    let scope = Scope { now, holders, may_start: false, after: None, bounds };
    assert_eq!(harness.table.waits(&scope).groups[0].reason, Reason::Successor);
}

#[test]
fn a_task_that_no_rule_holds_is_to_start_in_the_next_pass() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 1_000));
    let group = harness.group(1);
    assert_eq!((group.reason, group.agents), (Reason::Startable, vec![name(0)]));
    harness.run_round();
    assert_eq!(harness.waits().groups, []);
}

#[test]
fn a_run_that_its_worker_lists_no_more_is_reported() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(2, 1_000));
    harness.run_round();
    let listed = harness.now;
    harness.worker(0).running.remove(&task(1, 0, 0));
    for _ in 0..5 {
        harness.wait(ms(450));
        harness.report_all();
    }
    let group = harness.group(1);
    assert_eq!((group.reason, group.tasks), (Reason::RunUnlisted, 1));
    assert_eq!((group.since, group.agents), (listed, vec![name(0)]));
}

#[test]
fn the_runs_of_a_worker_that_shows_no_list_are_reported() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(2, 1_000));
    harness.run_round();
    harness.wait(ms(1_900));
    assert_eq!(harness.waits().groups, []);
    harness.wait(ms(100));
    assert_eq!(harness.reasons(1), [(Reason::RunSilent, 2)]);
    // A list of a worker that does not answer shows nothing.
    harness.worker(0).status = Status::Silent;
    harness.report_all();
    assert_eq!(harness.reasons(1), [(Reason::RunSilent, 2)]);
}

#[test]
fn reports_are_bounded_and_continue_with_the_next_job() {
    let mut harness = Harness::new(1);
    for number in 1..=25 {
        harness.accept(number, step(1, 20_000));
    }
    harness.tick();
    let bounds = Bounds { jobs: 10, ..Bounds::default() };
    let mut after = None;
    let mut sizes = Vec::new();
    let mut seen = BTreeSet::new();
    loop {
        let report = harness.waits_within(after, bounds);
        sizes.push(report.groups.len());
        seen.extend(report.groups.iter().map(|group| group.task.job));
        assert!(report.groups.iter().all(|group| report.covers(group.task.job)));
        let Some(last) = report.last else { break };
        after = Some(last.0);
    }
    assert_eq!(sizes, [10, 10, 5]);
    assert_eq!(seen.len(), 25);
}

#[test]
fn one_large_job_does_not_exceed_the_bounds_of_a_report() {
    let mut harness = Harness::new(4);
    let steps = (0..200).map(|_| step(2, 20_000)).collect();
    harness.table.accept(id(1), job(steps), true, harness.now);
    harness.tick();
    let bounds = Bounds { groups: 30, ..Bounds::default() };
    let report = harness.waits_within(None, bounds);
    assert_eq!((report.groups.len(), report.omitted), (30, 340));
    assert!(!report.covers(id(1)), "some of its steps are left out");
    // Each of these searches compares each of four workers twice.
    let bounds = Bounds { comparisons: 40, ..Bounds::default() };
    let report = harness.waits_within(None, bounds);
    assert_eq!((report.groups.len(), report.omitted), (5, 390));
}

#[test]
fn demands_beyond_one_without_room_are_not_searched_again() {
    let mut harness = Harness::new(4);
    let steps = (0..200).map(|number| step(5, 6_000 + number)).collect();
    harness.table.accept(id(1), job(steps), true, harness.now);
    harness.tick();
    let bounds = Bounds { comparisons: 40, ..Bounds::default() };
    let report = harness.waits_within(None, bounds);
    assert_eq!(report.omitted, 0);
    let rooms = report.groups.iter().filter(|group| group.reason == Reason::NoRoom);
    assert_eq!(rooms.count(), 200);
}

/// A harness with a journal that is kept each second.
struct Recorder {
    harness: Harness,
    journal: Journal,
}

impl Recorder {
    fn new(harness: Harness) -> Self {
        Self { harness, journal: Journal::new(LOGGED_FROM) }
    }

    /// Lets `millis` pass; returns the lines of the report that follows.
    fn after(&mut self, millis: u64) -> Vec<(Change, Reason, u64)> {
        self.harness.wait(ms(millis));
        self.harness.report_all();
        self.harness.tick();
        let lines = self.journal.apply(&self.harness.waits(), self.harness.now);
        lines.iter().map(|line| (line.event, line.reason, line.waited_ms)).collect()
    }
}

#[test]
fn a_wait_is_logged_once_it_is_long_and_when_its_reason_changes_and_when_it_ends() {
    let mut recorder = Recorder::new(Harness::new(1));
    recorder.harness.accept(1, step(1, 20_000));
    assert_eq!(recorder.after(1_000), []);
    assert_eq!(recorder.after(1_000), [(Change::Waits, Reason::Unsuited, 2_000)]);
    assert_eq!(recorder.after(1_000), []);
    recorder.harness.worker(0).millicores = 25_000;
    recorder.harness.holders.clear();
    recorder.harness.report_all();
    assert_eq!(recorder.after(1_000), [(Change::Changed, Reason::HolderUnrecorded, 4_000)]);
    recorder.harness.holders.insert(name(0));
    recorder.harness.table.search_again();
    recorder.harness.run_round();
    assert_eq!(recorder.after(100), [(Change::Ended, Reason::HolderUnrecorded, 4_100)]);
    assert_eq!(recorder.after(1_000), []);
}

#[test]
fn a_short_wait_and_one_for_a_time_that_the_caller_set_are_not_logged() {
    let mut recorder = Recorder::new(Harness::new(1));
    let mut repeated = job(vec![step(1, 1_000)]);
    repeated.spec.repetitions = 1;
    repeated.spec.first_due_ms = recorder.harness.now.after(ms(60_000)).as_millis();
    recorder.harness.table.accept(id(1), repeated, true, recorder.harness.now);
    for _ in 0..10 {
        assert_eq!(recorder.after(1_000), []);
    }
    recorder.harness.accept(2, step(1, 20_000));
    assert_eq!(recorder.after(1_000), []);
    recorder.harness.table.cancel(id(2), recorder.harness.now);
    assert_eq!(recorder.after(1_000), []);
}

#[test]
fn a_wait_whose_reason_alternates_is_logged_every_two_seconds_at_most() {
    let mut recorder = Recorder::new(Harness::new(1));
    recorder.harness.accept(1, step(1, 20_000));
    let mut lines = 0;
    for round in 0..40 {
        recorder.harness.worker(0).millicores = if round % 2 == 0 { 25_000 } else { 10_000 };
        recorder.harness.holders.clear();
        lines += recorder.after(500).len();
    }
    assert!((2..=10).contains(&lines), "{lines} lines in 20 s");
}

#[test]
fn lines_are_bounded_and_those_that_are_left_out_follow() {
    let mut recorder = Recorder::new(Harness::new(1));
    for number in 1..=120 {
        recorder.harness.accept(number, step(1, 20_000));
    }
    assert_eq!(recorder.after(1_000), []);
    let counts: Vec<(usize, u64)> =
        (0..4).map(|_| (recorder.after(1_000).len(), recorder.journal.take_left_out())).collect();
    assert_eq!(counts, [(50, 70), (50, 20), (20, 0), (0, 0)]);
}

#[test]
fn a_report_of_other_jobs_ends_no_wait() {
    let mut harness = Harness::new(1);
    harness.accept(1, step(1, 20_000));
    harness.accept(2, step(1, 20_000));
    harness.wait(LOGGED_FROM);
    harness.report_all();
    harness.tick();
    let mut journal = Journal::new(LOGGED_FROM);
    let bounds = Bounds { jobs: 1, ..Bounds::default() };
    let mut apply = |harness: &Harness| {
        let report = harness.waits_within(journal.after().map(|id| id.0), bounds);
        let lines = journal.apply(&report, harness.now);
        let sums = journal.take_sums();
        (lines.len(), sums.map(|sums| sums[&Reason::Unsuited].tasks))
    };
    assert_eq!(apply(&harness), (1, None));
    assert_eq!(apply(&harness), (1, Some(2)), "sums over both reports");
    assert_eq!(apply(&harness), (0, None));
}

#[test]
fn a_line_names_the_longest_wait_of_a_step_and_counts_the_others() {
    let mut harness = Harness::new(2);
    harness.accept(1, step(3, 6_000));
    harness.run_round();
    harness.wait(ms(500));
    harness.restart_worker(0);
    harness.record_at_once();
    let mut journal = Journal::new(Duration::ZERO);
    let lines = journal.apply(&harness.waits(), harness.now);
    assert_eq!(lines.len(), 1);
    let line = serde_json::to_value(&lines[0]).expect("a line");
    assert_eq!(
        (&line["reason"], &line["tasks"], &line["others"]),
        (&"held".into(), &1.into(), &1.into())
    );
    assert_eq!(line["waited_ms"], 500);
    assert!(line["remaining_ms"].as_u64().is_some());
}

/// Counts the tasks of open and due steps that are not done and do not run.
fn idle_tasks(harness: &Harness) -> usize {
    let mut idle = 0;
    for job in harness.table.jobs().filter(|job| job.ended.is_none()) {
        for (position, state) in job.tasks.iter().enumerate() {
            let task = job.task(position);
            let runs = matches!(state.phase, Phase::Running { .. } | Phase::Done);
            if !runs && job.is_open(task.occurrence, usize::from(task.step)) {
                idle += 1;
            }
        }
    }
    idle
}

/// Guards against a rule of the placement that the report does not know, or knows in another form.
#[test]
fn every_task_that_does_not_run_has_a_reason_and_none_could_start_after_a_pass() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut harness = fuzz::varied_workers();
        let mut next_job = 0;
        for number in 0..STEPS {
            fuzz::change(&mut harness, &mut rng, &mut next_job);
            harness.table.expire(harness.now, harness.now.as_millis());
            // What a pass frees can let an earlier job start in the next one.
            for _ in 0..2 {
                harness.table.search_again();
                harness.table.place(harness.now, &harness.holders);
            }
            let report = harness.waits();
            let runs = [Reason::RunUnlisted, Reason::RunSilent];
            let waiting = report.groups.iter().filter(|group| !runs.contains(&group.reason));
            let tasks: u32 = waiting.map(|group| group.tasks).sum();
            assert_eq!(tasks as usize, idle_tasks(&harness), "seed {seed}, step {number}");
            let startable = report.groups.iter().find(|group| group.reason == Reason::Startable);
            assert_eq!(startable, None, "seed {seed}, step {number}");
        }
    }
}

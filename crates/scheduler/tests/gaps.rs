//! Lists of a worker from which rows are missing: what the agent takes for ended, and until when.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::list::{Reader, Received};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::message::{
    End, ExitReason, Incarnation, Part, Profile, Reply, Report, Run, Status,
};
use shallotflow_scheduler::agent::run_table::RunTable;
use shallotflow_scheduler::agent::{Lists, Settings};
use std::collections::BTreeSet;
use std::time::Duration;

/// When the first lists arrive, in milliseconds.
const START_MS: u64 = 10_000;
/// Rows that cannot be read hide runs for at most this long, from the start of the worker's last lease on:
/// six seconds of waiting and the end of leases of six seconds, with the margin for slow clocks.
const BOUND_MS: u64 = 12_500;

fn task(index: u32) -> Task {
    Task { job: Id(1), occurrence: 0, step: 0, index }
}

fn run(index: u32) -> Run {
    Run { task: task(index), run: 1, checkpoint: None, percent: 50, measurement: 0, pace: 100 }
}

fn end(number: u64, index: u32) -> End {
    End { number, task: task(index), run: 1, reason: ExitReason::Done, checkpoint: None }
}

fn incarnation() -> Incarnation {
    Incarnation { id: Name::from("w"), started_ms: 7 }
}

/// A list with rows that cannot be read, which are `None`.
fn received<T>(rows: impl IntoIterator<Item = Option<T>>, has_more: bool) -> Received<T> {
    let mut reader = Reader::default();
    reader.extend(rows);
    reader.finish(has_more)
}

fn lists(running: Received<Run>, ends: Received<End>, now_ms: u64) -> Lists {
    Lists { incarnation: incarnation(), clock_ms: now_ms, running, ends }
}

/// An agent with its owner, which answers each report and records each end.
struct Agent {
    table: RunTable,
    now_ms: u64,
    /// Numbers of the ends that the owner knows.
    known: BTreeSet<u64>,
    recorded: u64,
}

impl Agent {
    /// An agent whose process has just started and has found an owner.
    fn new() -> Self {
        let now = Time::from_millis(START_MS);
        let mut table = RunTable::new(Settings::default(), "agent".into(), 1, now);
        table.apply_reply(Reply { epoch: 1, owned: true, ..Reply::default() });
        Self { table, now_ms: START_MS, known: BTreeSet::new(), recorded: 0 }
    }

    /// An agent that has read lists with these runs, and whose worker is registered.
    fn joined(running: impl IntoIterator<Item = u32>) -> Self {
        let mut agent = Self::new();
        agent.poll(received(running.into_iter().map(run).map(Some), false), Received::default());
        let profile = Profile {
            incarnation: incarnation(),
            service: "s".into(),
            capacity: Bundle { millicores: 1_000, ..Bundle::default() },
            labels: Vec::new(),
            rack: None,
            status: Status::Ready,
            failure_domain: "".into(),
            cold_remaining_ms: 0,
        };
        let now = Time::from_millis(agent.now_ms);
        agent.table.register(profile, 1, now);
        agent.report();
        agent
    }

    /// Reads lists; returns the number up to which the worker forgets ends before.
    fn poll(&mut self, running: Received<Run>, ends: Received<End>) -> u64 {
        let now = Time::from_millis(self.now_ms);
        let poll = self.table.next_poll(now);
        self.table.apply_lists(lists(running, ends, self.now_ms), 1, now, now);
        poll.recorded
    }

    /// Sends a report, which the owner answers at once.
    fn report(&mut self) -> Report {
        self.now_ms += 500;
        let report = self.table.report(Time::from_millis(self.now_ms));
        self.known.extend(report.ends.iter().map(|end| end.number));
        let limit = report.additions.part.as_ref().and_then(|part| part.last_end);
        let recorded = self.known.range(..=limit.unwrap_or(u64::MAX)).last();
        self.recorded = self.recorded.max(recorded.copied().unwrap_or(0));
        self.table.apply_reply(Reply {
            epoch: 1,
            owned: true,
            sequence: report.sequence,
            recorded: self.recorded,
            worker_started_ms: 7,
            ..Reply::default()
        });
        report
    }
}

fn status(report: &Report) -> Option<Status> {
    report.worker.as_ref().map(|profile| profile.status)
}

/// Guards against a task that runs again although it is done: the worker forgets its end, which the agent
/// could not read, since a later end is recorded.
#[test]
fn ends_from_a_row_that_cannot_be_read_on_are_not_forgotten() {
    let mut agent = Agent::joined([1, 2, 3]);
    let ends = || received([Some(end(1, 1)), None, Some(end(3, 3))], false);
    agent.poll(Received::default(), ends());
    let report = agent.report();
    assert_eq!(report.ends.len(), 2, "the ends that can be read count");
    assert_eq!(report.running, None, "run 2 is unknown");
    assert_eq!(report.additions.part, Some(Part { running: Vec::new(), last_end: Some(1) }));
    assert_eq!(agent.poll(Received::default(), ends()), 1);
}

/// Guards against a worker that loses the leases of its runs because of a row that hides none of them.
#[test]
fn a_row_that_cannot_be_read_beside_all_known_runs_hides_nothing() {
    let mut agent = Agent::joined([1, 2]);
    for _ in 0..60 {
        agent.poll(
            received([Some(run(2)), None], false),
            received([None, Some(end(2, 1)), None], false),
        );
        let report = agent.report();
        assert_eq!(report.running.as_deref(), Some(&[run(2)][..]));
        assert_eq!(status(&report), Some(Status::Ready));
    }
    assert_eq!(agent.poll(received([Some(run(2))], false), Received::default()), 2);
}

/// Guards against tasks that wait for good for a worker whose lists stay unreadable.
#[test]
fn tasks_hidden_by_a_row_that_stays_unreadable_go_on_once_leases_have_ended() {
    let mut agent = Agent::joined([1, 2, 3]);
    let begin_ms = agent.now_ms;
    let running = || received([Some(run(3))], false);
    let ends = || received([None, Some(end(2, 2))], false);
    let mut lapsed_at = None;
    while lapsed_at.is_none() {
        assert_eq!(agent.poll(running(), ends()), 0, "no lease has ended between end and note");
        let report = agent.report();
        assert_eq!(report.running, None, "run 1 may go on until {}", agent.now_ms);
        lapsed_at = (status(&report) == Some(Status::Empty)).then_some(agent.now_ms);
        assert!(agent.now_ms - begin_ms <= BOUND_MS, "{report:?}");
    }
    // Nothing runs any more, and the row that cannot be read is still there.
    let lapsed = || received([None, Some(end(2, 2)), Some(end(3, 3))], false);
    agent.poll(Received::default(), lapsed());
    let report = agent.report();
    assert_eq!(status(&report), Some(Status::Ready));
    assert_eq!(report.running.as_deref(), Some(&[][..]), "all runs are known again");
    agent.poll(Received::default(), lapsed());
    assert_eq!(agent.poll(Received::default(), lapsed()), 3, "the ends behind it are forgotten");
}

/// Guards against a worker of which each page of ends, once begun by a row that cannot be read, costs the leases
/// of all runs.
#[test]
fn pages_that_begin_with_the_same_unreadable_row_follow_each_other() {
    let mut agent = Agent::joined(0..40);
    agent.poll(received((0..40).map(run).map(Some), false), received([None], false));
    agent.report();
    let mut forgotten = 0;
    for _ in 0..30 {
        let numbers = forgotten + 1..=40;
        let has_more = numbers.clone().count() >= 3;
        let index = |number: u64| u32::try_from(number - 1).expect("a small number");
        let page = numbers.take(3).map(|number| Some(end(number, index(number))));
        let rows = std::iter::once(None).chain(page);
        forgotten = agent.poll(Received::default(), received(rows, has_more));
        assert_eq!(status(&agent.report()), Some(Status::Ready));
    }
    assert_eq!(agent.report().running.as_deref(), Some(&[][..]));
    assert_eq!(agent.known.len(), 40, "every end was read");
}

/// Guards against a new process of the agent that reports no run at all while one row cannot be read.
#[test]
fn a_new_process_reports_the_runs_that_it_can_read() {
    let mut agent = Agent::new();
    agent.poll(received([Some(run(1)), None], false), received([Some(end(1, 4))], false));
    let report = agent.report();
    assert_eq!((report.ends.len(), report.running), (1, None));
    let part = report.additions.part.expect("a part");
    assert_eq!(part.running, [run(1)], "which says nothing of other runs");
}

/// Guards against an owner that is told of an empty worker before the leases of a former process have ended.
#[test]
fn a_worker_with_unreadable_rows_is_empty_only_after_its_last_lease() {
    let mut agent = Agent::joined([1]);
    let mut renewed_ms = agent.now_ms;
    loop {
        let now = Time::from_millis(agent.now_ms);
        if agent.table.next_poll(now).lease_ms.is_some() {
            renewed_ms = agent.now_ms;
        }
        agent.poll(Received::default(), received([None], false));
        let report = agent.report();
        if status(&report) == Some(Status::Empty) {
            // The lease was renewed up to six seconds after the last report before.
            assert!(agent.now_ms >= renewed_ms + 5_500, "{} {}", agent.now_ms, renewed_ms);
            return;
        }
        assert!(agent.now_ms < START_MS + BOUND_MS + 1_000, "{report:?}");
    }
}

/// One run of the model worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Active,
    /// Ended, with the number of its end.
    Ended(u64),
    Forgotten,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(46), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever rows cannot be read, wherever they are and for as long as they stay: a list that counts as
    /// whole lacks only runs whose ends were reported, or whose leases have ended, and the worker forgets no
    /// end that was neither.
    #[test]
    fn a_run_is_missed_only_after_its_end_was_read_or_its_lease_has_ended(
        page in 1..6_usize,
        knows_runs in any::<bool>(),
        // For each round: which runs end, which rows of both lists cannot be read.
        rounds in proptest::collection::vec((any::<u16>(), any::<u16>(), any::<u16>()), 1..40),
        // In these rounds all rows can be read.
        readable in any::<u64>(),
    ) {
        const RUNS: u32 = 12;
        let mut agent = if knows_runs { Agent::joined(0..RUNS) } else { Agent::new() };
        let mut states = [State::Active; RUNS as usize];
        let mut last_end = 0;
        let mut reported: BTreeSet<u32> = BTreeSet::new();
        // Set once the worker counted as empty: all its leases had ended by then.
        let mut lapsed: BTreeSet<u32> = BTreeSet::new();
        for (round, (ending, bad_runs, bad_ends)) in rounds.into_iter().enumerate() {
            let is_readable = readable >> (round % 64) & 1 == 1;
            let is_bad = |bits: u16, place: u32| !is_readable && bits >> (place % 16) & 1 == 1;
            // One run in four ends.
            for index in (0..RUNS).filter(|index| ending >> index & 1 == 1) {
                if !(index as usize + round).is_multiple_of(4) {
                    continue;
                }
                if states[index as usize] == State::Active {
                    last_end += 1;
                    states[index as usize] = State::Ended(last_end);
                }
            }
            let active = |(index, state): (u32, &State)| (*state == State::Active).then_some(index);
            let running: Vec<u32> = (0..RUNS).zip(&states).filter_map(active).collect();
            let ended = |(index, state): (u32, &State)| match state {
                State::Ended(number) => Some((*number, index)),
                _ => None,
            };
            let mut ends: Vec<(u64, u32)> = (0..RUNS).zip(&states).filter_map(ended).collect();
            ends.sort_unstable();
            let now = Time::from_millis(agent.now_ms);
            let forgotten = agent.table.next_poll(now).recorded;
            for (index, state) in (0..RUNS).zip(&mut states) {
                if matches!(state, State::Ended(number) if *number <= forgotten) {
                    prop_assert!(reported.contains(&index) || lapsed.contains(&index), "{index} is forgotten");
                    *state = State::Forgotten;
                }
            }
            ends.retain(|(number, _)| *number > forgotten);
            let has_more = ends.len() >= page;
            let listed_runs = received(
                running.iter().map(|index| (!is_bad(bad_runs, *index)).then(|| run(*index))), false,
            );
            let listed_ends = received(
                ends.iter().take(page).map(|(number, index)| {
                    (!is_bad(bad_ends, *index)).then(|| end(*number, *index))
                }), has_more,
            );
            agent.table.apply_lists(lists(listed_runs, listed_ends, agent.now_ms), 1, now, now);
            let report = agent.report();
            reported.extend(report.ends.iter().map(|end| end.task.index));
            if status(&report) == Some(Status::Empty) {
                for (index, state) in (0..RUNS).zip(&mut states) {
                    if *state == State::Active {
                        last_end += 1;
                        *state = State::Ended(last_end);
                    }
                    lapsed.insert(index);
                }
            }
            if let Some(whole) = &report.running {
                let listed: BTreeSet<u32> = whole.iter().map(|run| run.task.index).collect();
                for index in 0..RUNS {
                    prop_assert!(
                        listed.contains(&index) || reported.contains(&index) || lapsed.contains(&index),
                        "run {index} is taken for lost in round {round}"
                    );
                }
            }
        }
    }

    /// Rows that stay unreadable keep no task waiting beyond the bound.
    #[test]
    fn lists_that_are_never_whole_settle_within_the_bound(
        bad_runs in any::<u16>(), bad_ends in any::<u16>(), ended in any::<u16>(),
    ) {
        let mut agent = Agent::joined(0..16);
        let is = |bits: u16, index: u32| bits >> index & 1 == 1;
        let begin_ms = agent.now_ms;
        let mut empty = false;
        loop {
            let running = (0..16).filter(|index| !empty && !is(ended, *index));
            let ends = (0..16).filter(|index| empty || is(ended, *index));
            agent.poll(
                received(running.map(|index| (!is(bad_runs, index)).then(|| run(index))), false),
                received(
                    ends.map(|index| (!is(bad_ends, index)).then(|| end(u64::from(index) + 1, index))), false,
                ),
            );
            let report = agent.report();
            empty |= status(&report) == Some(Status::Empty);
            if report.running.is_some() {
                break;
            }
            let waited = Duration::from_millis(agent.now_ms - begin_ms);
            prop_assert!(waited <= Duration::from_millis(BOUND_MS + 1_000), "after {waited:?}: {report:?}");
        }
    }
}

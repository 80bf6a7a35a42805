//! The oracle reports each kind of violation, and nothing for a correct history.

use shallotflow_core::graph::{Id, Spec, State, Step, Task};
use shallotflow_policy::plan::message::ExitReason;
use shallotflow_soak::history::{Evacuation, History, Job};
use shallotflow_soak::oracle;
use shallotflow_standin::runs::{Event, Transition};
use test_case::test_case;

const JOB: Id = Id(1);

fn task(step: u16) -> Task {
    Task { job: JOB, occurrence: 0, step, index: 0 }
}

/// An evacuation of the workers 1, 4, 7 and so on.
const EVACUATION: Evacuation =
    Evacuation { domain: 1, confirmed: 100, withdrawn: Some(AFTER_BOUND + 10) };
/// The first time at which a start during [`EVACUATION`] is too late.
const AFTER_BOUND: u64 = 100 + 5_000_000 + 1;

/// A job of two steps with one task each.
fn history() -> History {
    let first = Step { count: 1, ..Step::default() };
    let second = Step { count: 1, after: vec![0], ..Step::default() };
    let spec = Spec { steps: vec![first, second], ..Spec::default() };
    let mut history = History::default();
    history.jobs.insert(JOB, Job { spec, accepted: true, ..Job::default() });
    history
}

struct Worker<'a>(&'a mut History, usize);

impl Worker<'_> {
    fn reports(&mut self, unix_us: u64, step: u16, run: u32, transition: Transition) -> &mut Self {
        let event = Event { number: unix_us, unix_us, task: task(step), run, epoch: 1, transition };
        self.0.apply_event(self.1, &event);
        self
    }
}

fn done() -> Transition {
    Transition::Ended(ExitReason::Done)
}

fn failed() -> Transition {
    Transition::Ended(ExitReason::Failed)
}

#[test]
fn a_correct_history_has_no_violations() {
    let mut history = history();
    Worker(&mut history, 0)
        .reports(1, 0, 1, Transition::Started)
        .reports(2, 0, 1, failed())
        .reports(3, 0, 1, Transition::Confirmed(ExitReason::Failed))
        .reports(4, 0, 2, Transition::Started)
        .reports(5, 0, 2, done());
    Worker(&mut history, 1).reports(6, 1, 3, Transition::Started).reports(7, 1, 3, done());
    history.record_state(JOB, None, Some(State::Running));
    history.record_state(JOB, Some(State::Running), Some(State::Completed));
    // This query was sent before the responses above arrived.
    history.record_state(JOB, None, Some(State::Queued));
    assert_eq!(oracle::check(&history), [""; 0]);
}

#[test_case(|history| {
    Worker(history, 0).reports(1, 0, 1, Transition::Started).reports(9, 0, 1, done());
    Worker(history, 1).reports(5, 0, 2, Transition::Started);
}, "ran twice at the same time"; "two runs at the same time")]
#[test_case(|history| {
    Worker(history, 0)
        .reports(1, 0, 1, Transition::Started)
        .reports(2, 0, 1, done())
        .reports(3, 0, 1, Transition::Confirmed(ExitReason::Done));
    Worker(history, 1).reports(4, 0, 2, Transition::Started);
}, "after it was done"; "a start after a confirmed end")]
#[test_case(|history| {
    Worker(history, 0).reports(1, 0, 1, Transition::Started);
    Worker(history, 1).reports(2, 1, 1, Transition::Started);
}, "before step 0 was done"; "a step started before its dependency was done")]
#[test_case(|history| {
    for run in 1..=5 {
        let at = u64::from(run) * 10;
        Worker(history, 0)
            .reports(at, 0, run, Transition::Started)
            .reports(at + 1, 0, run, failed())
            .reports(at + 2, 0, run, Transition::Confirmed(ExitReason::Failed));
    }
    Worker(history, 0).reports(99, 0, 6, Transition::Started);
}, "after 5 failures"; "a start after the maximum number of failures")]
#[test_case(|history| {
    let job = history.jobs.get_mut(&JOB).expect("a job");
    job.accepted = false;
    Worker(history, 0).reports(1, 0, 1, Transition::Started);
}, "its job was refused"; "a start of a refused job")]
#[test_case(|history| {
    history.jobs.clear();
    Worker(history, 0).reports(1, 0, 1, Transition::Started);
}, "its job was never submitted"; "a start of a job that was never submitted")]
#[test_case(|history| {
    history.evacuations.push(EVACUATION);
    Worker(history, 4).reports(AFTER_BOUND, 0, 1, Transition::Started);
}, "at worker 4 of domain-1, 5000 ms after its evacuation"; "a start after an evacuation")]
#[test_case(|history| {
    history.evacuations.push(Evacuation { withdrawn: None, ..EVACUATION });
    Worker(history, 1).reports(u64::MAX / 2, 0, 1, Transition::Started);
}, "at worker 1 of domain-1"; "a start during an evacuation without end")]
#[test_case(|history| history.record_state(JOB, None, Some(State::Completed)), "step 0 is not done"; "completed too early")]
#[test_case(|history| history.record_state(JOB, None, Some(State::Failed)), "none of its tasks failed often enough"; "failed without a cause")]
#[test_case(|history| history.record_state(JOB, None, Some(State::Cancelled)), "cancelled without a cancellation request"; "cancelled without a cause")]
#[test_case(|history| history.record_state(JOB, None, None), "is not known"; "an accepted job that is lost")]
#[test_case(|history| {
    history.record_state(JOB, None, Some(State::Running));
    history.record_state(JOB, Some(State::Running), Some(State::Queued));
}, "is queued again"; "a running job that is queued again")]
fn a_violated_guarantee_is_reported(violate: impl FnOnce(&mut History), detail: &str) {
    let mut history = history();
    violate(&mut history);
    let violations = oracle::check(&history);
    assert!(violations.iter().any(|violation| violation.contains(detail)), "{violations:?}");
}

#[test]
fn a_run_that_ended_with_its_worker_or_lease_may_start_elsewhere() {
    let mut history = history();
    Worker(&mut history, 0).reports(1, 0, 1, Transition::Started);
    history.record_worker_exit(0, 5);
    // Done before the lease expired but never confirmed, so the owner cannot know of it.
    Worker(&mut history, 1).reports(6, 0, 2, Transition::Started).reports(7, 0, 2, done());
    Worker(&mut history, 2).reports(8, 0, 3, Transition::Started).reports(
        9,
        0,
        3,
        Transition::Ended(ExitReason::Lapsed),
    );
    assert_eq!(oracle::check(&history), [""; 0]);
}

#[test_case(1, AFTER_BOUND - 1; "within the bound")]
#[test_case(1, AFTER_BOUND + 10; "once the withdrawal is sent")]
#[test_case(2, AFTER_BOUND; "in another domain")]
fn a_start_that_no_evacuation_forbids_is_no_violation(worker: usize, at: u64) {
    let mut history = history();
    history.evacuations.push(EVACUATION);
    Worker(&mut history, worker).reports(at, 0, 1, Transition::Started);
    assert_eq!(oracle::check(&history), [""; 0]);
}

/// Each task of a job that lasts runs at exactly one worker in the end.
#[test_case(|worker| { worker.reports(1, 0, 1, Transition::Started); }, true; "one run")]
#[test_case(|_| {}, false; "no run")]
#[test_case(|worker| {
    worker.reports(1, 0, 1, Transition::Started).reports(2, 0, 1, failed());
}, false; "an ended run")]
#[test_case(|worker| {
    worker.reports(1, 0, 1, Transition::Started).reports(2, 0, 2, Transition::Started);
}, false; "two runs")]
fn a_lasting_job_is_settled_with_one_run_of_each_task(
    act: impl FnOnce(&mut Worker<'_>),
    settled: bool,
) {
    let mut history = history();
    act(&mut Worker(&mut history, 0));
    let steps = vec![Step { count: 1, long_running: true, ..Step::default() }];
    let spec = Spec { steps, ..Spec::default() };
    let job = Job { spec, lasting: true, accepted: true, ..Job::default() };
    assert_eq!(history.is_settled(JOB, &job), settled);
}

//! The checks find what they are for, and nothing else.

use shallotflow_core::graph::{Id, Spec, State, Step, Task};
use shallotflow_policy::plan::message::ExitReason;
use shallotflow_soak::book::{Book, Order};
use shallotflow_soak::oracle;
use shallotflow_standin::runs::{Event, Transition};
use test_case::test_case;

const JOB: Id = Id(1);

fn task(step: u16) -> Task {
    Task { job: JOB, occurrence: 0, step, index: 0 }
}

/// A job of two steps with one task each.
fn book() -> Book {
    let first = Step { count: 1, ..Step::default() };
    let second = Step { count: 1, after: vec![0], ..Step::default() };
    let spec = Spec { steps: vec![first, second], ..Spec::default() };
    let mut book = Book::default();
    book.orders.insert(JOB, Order { spec, accepted: true, ..Order::default() });
    book
}

struct Worker<'a>(&'a mut Book, usize);

impl Worker<'_> {
    fn says(&mut self, unix_us: u64, step: u16, run: u32, transition: Transition) -> &mut Self {
        let fact = Event { number: unix_us, unix_us, task: task(step), run, epoch: 1, transition };
        self.0.hear(self.1, &fact);
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
fn a_job_that_went_well_breaks_nothing() {
    let mut book = book();
    Worker(&mut book, 0)
        .says(1, 0, 1, Transition::Started)
        .says(2, 0, 1, failed())
        .says(3, 0, 1, Transition::Confirmed(ExitReason::Failed))
        .says(4, 0, 2, Transition::Started)
        .says(5, 0, 2, done());
    Worker(&mut book, 1).says(6, 1, 3, Transition::Started).says(7, 1, 3, done());
    book.show(JOB, None, Some(State::Running));
    book.show(JOB, Some(State::Running), Some(State::Completed));
    // Asked before the others were answered.
    book.show(JOB, None, Some(State::Queued));
    assert_eq!(oracle::check(&book), [""; 0]);
}

#[test_case(|book| {
    Worker(book, 0).says(1, 0, 1, Transition::Started).says(9, 0, 1, done());
    Worker(book, 1).says(5, 0, 2, Transition::Started);
}, "ran twice at a time"; "two runs at a time")]
#[test_case(|book| {
    Worker(book, 0)
        .says(1, 0, 1, Transition::Started)
        .says(2, 0, 1, done())
        .says(3, 0, 1, Transition::Confirmed(ExitReason::Done));
    Worker(book, 1).says(4, 0, 2, Transition::Started);
}, "after it was done"; "a start after a confirmed end")]
#[test_case(|book| {
    Worker(book, 0).says(1, 0, 1, Transition::Started);
    Worker(book, 1).says(2, 1, 1, Transition::Started);
}, "before step 0 was done"; "a step before its time")]
#[test_case(|book| {
    for run in 1..=5 {
        let at = u64::from(run) * 10;
        Worker(book, 0)
            .says(at, 0, run, Transition::Started)
            .says(at + 1, 0, run, failed())
            .says(at + 2, 0, run, Transition::Confirmed(ExitReason::Failed));
    }
    Worker(book, 0).says(99, 0, 6, Transition::Started);
}, "after 5 failures"; "a start beyond the attempts")]
#[test_case(|book| {
    let order = book.orders.get_mut(&JOB).expect("a job");
    order.accepted = false;
    Worker(book, 0).says(1, 0, 1, Transition::Started);
}, "its job was refused"; "a start of a refused job")]
#[test_case(|book| {
    book.orders.clear();
    Worker(book, 0).says(1, 0, 1, Transition::Started);
}, "nobody handed its job in"; "a start that nobody asked for")]
#[test_case(|book| book.show(JOB, None, Some(State::Completed)), "step 0 is not done"; "completed too early")]
#[test_case(|book| book.show(JOB, None, Some(State::Failed)), "none of its tasks did so often"; "failed without a cause")]
#[test_case(|book| book.show(JOB, None, Some(State::Cancelled)), "nobody cancelled it"; "cancelled without a cause")]
#[test_case(|book| book.show(JOB, None, None), "is not known"; "an accepted job that is lost")]
#[test_case(|book| {
    book.show(JOB, None, Some(State::Running));
    book.show(JOB, Some(State::Running), Some(State::Queued));
}, "is queued again"; "a job that goes back")]
fn a_broken_promise_is_named(play: impl FnOnce(&mut Book), detail: &str) {
    let mut book = book();
    play(&mut book);
    let broken = oracle::check(&book);
    assert!(broken.iter().any(|broken| broken.contains(detail)), "{broken:?}");
}

#[test]
fn what_ended_with_its_worker_or_its_lease_may_start_elsewhere() {
    let mut book = book();
    Worker(&mut book, 0).says(1, 0, 1, Transition::Started);
    book.lose(0, 5);
    // Done before the lease ended and never confirmed: its owner could not know.
    Worker(&mut book, 1).says(6, 0, 2, Transition::Started).says(7, 0, 2, done());
    Worker(&mut book, 2).says(8, 0, 3, Transition::Started).says(
        9,
        0,
        3,
        Transition::Ended(ExitReason::Lapsed),
    );
    assert_eq!(oracle::check(&book), [""; 0]);
}

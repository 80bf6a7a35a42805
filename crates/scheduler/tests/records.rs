//! Store records that are damaged or were written by an older version.

use proptest::prelude::*;
use serde::Serialize;
use shallotflow_core::graph::{Job, Queue, Spec, State, Step};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use shallotflow_policy::plan::Progress;
use shallotflow_policy::plan::message::Report;
use shallotflow_scheduler::agent::Settings;
use shallotflow_scheduler::agent::run_table::RunTable;
use shallotflow_scheduler::peers::{pack, unpack};

fn job(count: u32, text: &str, after: bool) -> Job {
    let first = Step { count, image: Some("cut".into()), ..Step::default() };
    let second = Step { count, after: if after { vec![0] } else { Vec::new() }, ..Step::default() };
    let spec = Spec { text: text.into(), steps: vec![first, second], ..Spec::default() };
    let queue = Queue { name: "render".into(), attempts: count, ..Queue::default() };
    Job { queue, spec, accepted_ms: u64::from(count) }
}

proptest! {
    /// Decoding of any bytes ends, and what is decoded can be encoded again.
    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(job) = unpack::<Job>(&bytes) {
            prop_assert!(pack(&job).is_ok());
            // The check must end, whether it passes or not.
            let _ = job.spec.check();
        }
        if let Ok(progress) = unpack::<Progress>(&bytes) {
            prop_assert!(pack(&progress).is_ok());
        }
        if let Ok(rates) = unpack::<Rates>(&bytes) {
            prop_assert!(pack(&rates).is_ok());
        }
    }

    /// A truncated record, or one with a changed byte, is decoded or refused.
    #[test]
    fn damaged_records_are_read_or_refused(
        count in 1..50_u32,
        text in ".{0,40}",
        at in any::<prop::sample::Index>(),
        value in any::<u8>(),
        cut in any::<bool>(),
    ) {
        let mut bytes = pack(&job(count, &text, true)).expect("a record");
        let place = at.index(bytes.len());
        if cut {
            bytes.truncate(place);
        } else {
            bytes[place] = value;
        }
        if let Ok(job) = unpack::<Job>(&bytes) {
            let _ = job.spec.check();
        }
    }

    #[test]
    fn an_encoded_job_is_decoded_unchanged(count in 1..50_u32, text in ".{0,40}", after in any::<bool>()) {
        let job = job(count, &text, after);
        prop_assert_eq!(unpack::<Job>(&pack(&job).expect("a record")).expect("a job"), job);
    }
}

/// The leading fields of the records, as an older version with fewer fields wrote them.
#[derive(Serialize)]
struct OlderProgress {
    state: State,
}

#[derive(Serialize)]
struct OlderJob {
    queue: (&'static str, &'static str),
    spec: (&'static str, Vec<(u32,)>),
}

#[test]
fn records_of_an_older_version_keep_their_values() {
    let bytes = pack(&OlderProgress { state: State::Running }).expect("a record");
    let progress = unpack::<Progress>(&bytes).expect("progress");
    assert_eq!(progress, Progress { state: State::Running, ..Progress::default() });
    let older = OlderJob { queue: ("render", "workers"), spec: ("text", vec![(3,)]) };
    let job = unpack::<Job>(&pack(&older).expect("a record")).expect("a job");
    assert_eq!((&*job.queue.name, &*job.queue.service), ("render", "workers"));
    assert_eq!(job.queue.attempts, Queue::default().attempts);
    assert_eq!((&*job.spec.text, job.spec.steps[0].count), ("text", 3));
}

/// The progress of a job as it was stored before crashes of workers were counted.
#[derive(Serialize)]
struct FormerProgress {
    state: State,
    ended_ms: u64,
    done: Vec<(u32, u32)>,
    failed: Vec<(u32, Vec<u32>)>,
    checkpoints: Vec<(u32, Name)>,
}

#[test]
fn progress_without_crashes_is_stored_as_before_they_were_counted() {
    let former = FormerProgress {
        state: State::Running,
        ended_ms: 0,
        done: vec![(0, 3)],
        failed: vec![(4, vec![1])],
        checkpoints: vec![(5, Name::from("half"))],
    };
    let former = pack(&former).expect("a record");
    let progress = unpack::<Progress>(&former).expect("a progress");
    assert_eq!(progress.checkpoints, [(5, Name::from("half"))]);
    assert_eq!(pack(&progress).expect("a record"), former, "older entries can read it");
}

/// Guards against a field that keeps messages of the former version from being read.
#[test]
fn a_report_without_crashes_has_the_form_of_the_former_version() {
    let mut table = RunTable::new(Settings::default(), "a".into(), 1, Time::ZERO);
    let report = table.report(Time::ZERO);
    let packed = pack(&report).expect("a report");
    assert_eq!(packed[0], 0x9d, "an array of thirteen fields");
    assert_eq!(unpack::<Report>(&packed).expect("a report"), report);
}

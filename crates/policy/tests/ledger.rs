//! Tests of single ledger decisions, over a transport without faults.

use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::{
    ClockReading, Error, Key, Phase, Report, Segment, Settings, Status, Table, id,
};
use std::time::Duration;

const LEDGERS: u32 = 1;
const EPOCH: u64 = 5;

/// A table with one ledger whose segments are committed immediately.
struct Owner {
    table: Table,
    clock: ClockReading,
    sequence: u64,
    segments: Vec<(u64, String)>,
}

impl Owner {
    fn new(settings: Settings) -> Self {
        let clock = ClockReading { now: Time::from_millis(10_000), unix_ms: 1_000_000 };
        let mut table = Table::new(settings);
        table.open(0, EPOCH, &[], clock).expect("an empty ledger");
        Self { table, clock, sequence: 0, segments: Vec::new() }
    }

    fn advance(&mut self, span: Duration) {
        self.clock.now = self.clock.now.after(span);
        self.clock.unix_ms += span.as_millis() as u64;
        self.table.tick(self.clock);
        self.commit();
    }

    fn submit(&mut self, key: &str, spec: &Spec) -> Name {
        let id = id::derive(&spec.caller, key, LEDGERS);
        self.table.submit(id.clone(), spec.clone(), self.clock).expect("a valid job");
        self.commit();
        id
    }

    fn commit(&mut self) {
        while let Some(segment) = self.table.next_segment(0) {
            self.store(&segment);
            self.table.confirm_segment(&segment);
        }
    }

    fn store(&mut self, segment: &Segment) {
        self.segments.retain(|(sequence, _)| !segment.replaced.contains(sequence));
        self.segments.push((segment.sequence, segment.body.clone()));
    }

    /// Sends a report of `worker` with `tasks` and returns the keys of the granted tasks.
    fn report(&mut self, worker: &str, slots: u32, tasks: &[(Key, Phase)]) -> Vec<Key> {
        self.sequence += 1;
        let status = |(key, phase): &(Key, Phase)| Status {
            key: key.clone(),
            phase: *phase,
            checkpoint: None,
            reason: String::new(),
        };
        let report = Report {
            worker: worker.into(),
            incarnation: 1,
            sequence: self.sequence,
            boot: 1,
            capacity: Bundle { slots: 8, ..Bundle::default() },
            room: Bundle { slots, ..Bundle::default() },
            tasks: tasks.iter().map(status).collect(),
            epochs: vec![(0, EPOCH)],
            ..Report::default()
        };
        let pending = self.table.apply_report(&report, self.clock);
        assert!(self.table.reply(&pending).grants.is_empty(), "no grant is sent before its commit");
        self.commit();
        self.table.reply(&pending).grants.into_iter().map(|grant| grant.key).collect()
    }

    fn state(&self, id: &Name) -> &str {
        self.table.read(id).expect("a recorded job").state.as_str()
    }
}

fn job(caller: &str) -> Spec {
    Spec {
        caller: caller.into(),
        kind: "render".into(),
        resources: Bundle { slots: 1, ..Bundle::default() },
        declared_run_ms: 10,
        idempotent: true,
        priority: 0,
        payload: String::new(),
    }
}

fn settings() -> Settings {
    Settings::default()
}

#[test]
fn urgent_jobs_start_before_jobs_that_waited_longer() {
    let mut owner = Owner::new(settings());
    owner.submit("old", &job("guild"));
    owner.advance(Duration::from_secs(3_600));
    let urgent = owner.submit("urgent", &Spec { priority: Spec::URGENT, ..job("fish") });
    assert_eq!(owner.report("w", 1, &[])[0].job, urgent);
}

#[test]
fn a_waiting_job_of_low_priority_overtakes_by_aging() {
    let mut owner = Owner::new(settings());
    let old = owner.submit("old", &job("guild"));
    owner.advance(Duration::from_secs(3_600));
    owner.submit("new", &Spec { priority: 100, ..job("guild") });
    assert_eq!(owner.report("w", 1, &[])[0].job, old);
}

#[test]
fn the_caller_with_the_fewest_running_tasks_is_served_next() {
    let mut owner = Owner::new(settings());
    for key in 0..8 {
        owner.submit(&key.to_string(), &job("guild"));
    }
    owner.advance(Duration::from_secs(1));
    let other = owner.submit("0", &job("fish"));
    let granted = owner.report("w", 2, &[]);
    assert!(granted.iter().any(|key| key.job == other), "{granted:?}");
}

#[test]
fn the_backlog_is_spread_by_free_slots() {
    let mut owner = Owner::new(settings());
    assert!(owner.report("a", 4, &[]).is_empty());
    assert!(owner.report("b", 4, &[]).is_empty());
    for key in 0..4 {
        owner.submit(&key.to_string(), &job("guild"));
    }
    assert_eq!(owner.report("a", 4, &[]).len(), 2);
    assert_eq!(owner.report("b", 4, &[]).len(), 2);
}

#[test]
fn a_job_that_fits_on_no_worker_is_parked_until_one_fits() {
    let mut owner = Owner::new(settings());
    let resources = Bundle { slots: 1, accelerators: 1, ..Bundle::default() };
    let id = owner.submit("0", &Spec { resources, ..job("guild") });
    owner.report("w", 8, &[]);
    owner.advance(Duration::from_secs(1));
    assert_eq!(owner.state(&id), "queued", "other workers may still report");
    owner.advance(Duration::from_secs(10));
    assert_eq!(owner.state(&id), "parked");
    let report = Report {
        worker: "accelerated".into(),
        sequence: 1,
        incarnation: 1,
        capacity: Bundle { accelerators: 2, ..resources },
        ..Report::default()
    };
    owner.table.apply_report(&report, owner.clock);
    owner.advance(Duration::from_secs(1));
    assert_eq!(owner.state(&id), "queued");
}

#[test]
fn a_worker_that_fails_everything_is_ejected_but_never_most_workers() {
    let mut owner = Owner::new(settings());
    for worker in ["good", "better", "bad"] {
        owner.report(worker, 0, &[]);
    }
    for key in 0..30 {
        owner.submit(&key.to_string(), &job("guild"));
    }
    let mut fail = |worker: &str| {
        let granted = owner.report(worker, 1, &[]);
        let failed: Vec<_> = granted.into_iter().map(|key| (key, Phase::Failed)).collect();
        owner.report(worker, 0, &failed);
        failed.len()
    };
    assert_eq!((0..10).map(|_| fail("bad")).sum::<usize>(), 3);
    assert_eq!((0..10).map(|_| fail("good")).sum::<usize>(), 10, "one of three is ejected already");
}

#[test]
fn a_job_that_always_fails_ends_as_failed() {
    let mut owner = Owner::new(settings());
    let id = owner.submit("0", &job("guild"));
    let mut attempts = 0;
    while owner.state(&id) != "failed" {
        let granted = owner.report("w", 1, &[]);
        attempts += granted.len();
        let failed: Vec<_> = granted.into_iter().map(|key| (key, Phase::Failed)).collect();
        owner.report("w", 0, &failed);
        owner.advance(Duration::from_secs(10));
    }
    assert_eq!(attempts, settings().failures_max as usize);
}

#[test]
fn finished_jobs_and_segments_are_bounded_and_open_jobs_are_kept() {
    let limits = Settings { finished_max: 10, segment_bytes: 4_000, segments_min: 8, ..settings() };
    let mut owner = Owner::new(limits);
    let parked = Spec { resources: Bundle { slots: 9, ..Bundle::default() }, ..job("guild") };
    let open: Vec<Name> = (0..5).map(|key| owner.submit(&format!("open-{key}"), &parked)).collect();
    for key in 0..500 {
        owner.submit(&key.to_string(), &job("guild"));
        let granted = owner.report("w", 1, &[]);
        let done: Vec<_> = granted.into_iter().map(|key| (key, Phase::Done)).collect();
        owner.report("w", 0, &done);
        owner.advance(Duration::from_millis(100));
    }
    assert!(owner.table.len() < 200, "{} jobs are in the table", owner.table.len());
    assert!(owner.segments.len() < 40, "{} segments are kept", owner.segments.len());
    let mut successor = Table::new(settings());
    successor.open(0, EPOCH + 1, &owner.segments, owner.clock).expect("readable segments");
    let records = |table: &Table| -> Vec<Record> {
        open.iter().map(|id| table.read(id).expect("an open job").clone()).collect()
    };
    assert_eq!(records(&successor), records(&owner.table));
}

#[test]
fn one_caller_cannot_fill_the_table() {
    let mut owner = Owner::new(Settings { caller_waiting_max: 3, waiting_max: 5, ..settings() });
    for key in 0..3 {
        owner.submit(&key.to_string(), &job("guild"));
    }
    let mut refused = |caller: &str, key: &str| {
        let id = id::derive(caller, key, LEDGERS);
        owner.table.submit(id, job(caller), owner.clock).err()
    };
    assert!(matches!(refused("guild", "3"), Some(Error::CallerFull { limit: 3, .. })));
    assert_eq!((refused("fish", "0"), refused("fish", "1")), (None, None));
    assert!(matches!(refused("mill", "0"), Some(Error::Full { limit: 5, .. })));
}

#[test]
fn a_damaged_segment_is_reported_by_number() {
    let mut table = Table::new(settings());
    let segments = [(3, "{\"epoch\":1}\nnot a line".to_owned())];
    let error =
        table.open(0, EPOCH, &segments, ClockReading::default()).expect_err("a damaged segment");
    assert!(matches!(error, Error::Damaged { ledger: 0, sequence: 3, .. }), "{error}");
    assert_eq!(table.owned().count(), 0);
}

#[test]
fn a_silent_worker_keeps_its_task_until_the_lease_has_expired_on_any_clock() {
    let mut owner = Owner::new(settings());
    let id = owner.submit("0", &job("guild"));
    owner.report("w", 1, &[]);
    owner.advance(settings().task_lease);
    assert_eq!(owner.state(&id), "started", "the worker's clock may be slow");
    owner.advance(settings().lease_wait() - settings().task_lease);
    assert_eq!(owner.state(&id), "queued");
}

#[test]
fn a_report_that_arrives_late_changes_nothing() {
    let mut owner = Owner::new(settings());
    let id = owner.submit("0", &job("guild"));
    let granted = owner.report("w", 1, &[]);
    owner.report("w", 0, &[(granted[0].clone(), Phase::Running)]);
    owner.sequence -= 2;
    assert!(owner.report("w", 8, &[(granted[0].clone(), Phase::Refused)]).is_empty());
    assert_eq!(owner.state(&id), "started");
}

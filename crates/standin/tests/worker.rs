//! Tests the stand-in worker: leases, fencing, checkpoints and the audit of violated guarantees.

use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::standin::{Disturbance, Profile, Settings};
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_standin::audit::{Audit, Violations};
use shallotflow_standin::worker::{Request, Worker};
use shallotflow_wire::control::{
    Acknowledge, Attach, Checkpoint, Fault, Lease, List, Renew, Start, Stop, Throttle, Usage,
};
use std::time::Duration;

const INCARNATION: u64 = 5;
const LONG_LEASE: Duration = Duration::from_secs(60);

fn run(test: impl Future<Output = ()>) {
    shallotflow_runtime::executor::run(test).expect("a runtime");
}

fn settings() -> Settings {
    Settings {
        capacity: Bundle {
            slots: 2,
            connections: 4,
            millicores: 8_000,
            memory_mib: 1_000,
            ..Bundle::default()
        },
        kinds: vec!["preview".into()],
        report_lag: Duration::ZERO,
        usage_period: Duration::from_millis(10),
        ..Settings::default()
    }
}

/// A worker to which an agent is attached.
fn attached_worker(settings: Settings, audit: &Audit) -> Worker {
    let worker = Worker::new(settings, audit.clone());
    worker.attach(&Attach { incarnation: INCARNATION }).expect("an attachment");
    worker
}

fn key(job: &str, attempt: u32) -> Key {
    Key { ledger: 1, job: job.into(), attempt }
}

fn start(job: &str, attempt: u32, run_ms: u64) -> Start {
    Start {
        incarnation: INCARNATION,
        key: key(job, attempt),
        epoch: 3,
        kind: "render".into(),
        resources: Bundle { slots: 1, ..Bundle::default() },
        idempotent: false,
        checkpoint: String::new(),
        payload: format!("{{\"run_ms\":{run_ms}}}"),
        deadline_us: Monotonic.now().after(LONG_LEASE).as_micros(),
    }
}

fn stop(job: &str, checkpoint: bool) -> Stop {
    Stop { incarnation: INCARNATION, key: key(job, 1), checkpoint }
}

async fn wait_for_end(worker: &Worker, job: &str) -> Phase {
    loop {
        let list = List { incarnation: INCARNATION, after: 0, wait_ms: 0 };
        let listed = worker.list(&list).await.expect("a list");
        let task = listed.tasks.iter().find(|task| &*task.key.job == job).expect("the task");
        if task.phase.is_final() {
            return task.phase;
        }
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[test]
fn a_task_runs_once_and_is_listed_until_it_is_acknowledged() {
    run(async {
        let audit = Audit::default();
        let worker = attached_worker(settings(), &audit);
        worker.start(&start("j1", 1, 10)).expect("a start");
        worker.start(&start("j1", 1, 10)).expect("the same start");
        assert_eq!(wait_for_end(&worker, "j1").await, Phase::Done);
        let call = Acknowledge { incarnation: INCARNATION, keys: vec![key("j1", 1)] };
        worker.acknowledge(&call).expect("an acknowledgement");
        let list = List { incarnation: INCARNATION, after: 0, wait_ms: 0 };
        assert!(worker.list(&list).await.expect("a list").tasks.is_empty());
        let record = audit.record();
        assert_eq!((record.starts, record.completions), (1, 1));
    });
}

#[test]
fn a_lease_expires_unless_renewed_and_is_never_revived() {
    run(async {
        let audit = Audit::default();
        let worker = attached_worker(settings(), &audit);
        let soon = Monotonic.now().after(Duration::from_millis(100)).as_micros();
        worker.start(&Start { deadline_us: soon, ..start("short", 1, 60_000) }).expect("a start");
        worker.start(&Start { deadline_us: soon, ..start("long", 1, 60_000) }).expect("a start");
        let deadline_us = Monotonic.now().after(LONG_LEASE).as_micros();
        let renew = |job| {
            let leases = vec![Lease { key: key(job, 1), deadline_us }];
            Renew { incarnation: INCARNATION, leases }
        };
        worker.renew(&renew("long")).expect("a renewal");
        assert_eq!(wait_for_end(&worker, "short").await, Phase::Lapsed);
        worker.renew(&renew("short")).expect("a renewal without effect");
        assert_eq!(audit.record().running("short"), 0);
        assert_eq!(audit.record().running("long"), 1);
        let late = Start { deadline_us: soon, ..start("late", 1, 10) };
        assert!(matches!(worker.start(&late), Err(Fault::Lapsed { .. })));
    });
}

#[test]
fn older_agent_incarnations_and_lower_epochs_are_fenced() {
    run(async {
        let audit = Audit::default();
        let worker = attached_worker(settings(), &audit);
        worker.start(&start("j1", 1, 60_000)).expect("a start");
        let lower = Start { epoch: 2, ..start("j2", 1, 10) };
        let fault = worker.start(&lower).expect_err("a fenced start");
        assert_eq!(fault, Fault::Epoch { ledger: 1, given: 2, seen: 3 });
        worker.attach(&Attach { incarnation: 6 }).expect("a newer agent");
        let fenced = Fault::Incarnation { given: INCARNATION, attached: 6 };
        assert_eq!(worker.stop(&stop("j1", false)).expect_err("a fenced stop"), fenced);
        let older = worker.attach(&Attach { incarnation: INCARNATION });
        assert_eq!(older.expect_err("a fenced attachment"), fenced);
    });
}

#[test]
fn a_stopped_task_resumes_from_its_checkpoint() {
    run(async {
        let audit = Audit::default();
        let worker = attached_worker(settings(), &audit);
        worker.start(&start("j1", 1, 300)).expect("a start");
        let call = Checkpoint { incarnation: INCARNATION, key: key("j1", 1) };
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert!(!worker.checkpoint(&call).expect("a checkpoint").checkpoint.is_empty());
        let stopped = worker.stop(&stop("j1", true)).expect("a stop");
        assert_eq!(stopped.phase, Phase::Evicted);
        let before = Monotonic.now();
        let resumed = Start { checkpoint: stopped.checkpoint, ..start("j1", 2, 300) };
        worker.start(&resumed).expect("a resumption");
        while audit.record().completions == 0 {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        // About a third of the work was done before the stop; the resumption skips no more than that.
        assert!(Monotonic.now().since(before) >= Duration::from_millis(150));
        assert_eq!(audit.record().violations, Violations::default());
    });
}

async fn measure_request(worker: &Worker, run: Duration) -> Duration {
    let request = Request {
        id: "r1".into(),
        request_id: None,
        kind: "preview".into(),
        resources: Bundle::default(),
        idempotent: true,
        run: Some(run),
    };
    let begin = Monotonic.now();
    worker.run_request(Some(INCARNATION), request).await.expect("a run");
    Monotonic.now().since(begin)
}

#[test]
fn neighbors_slow_requests_down_and_throttled_neighbors_do_so_less() {
    run(async {
        let disturbance = Disturbance {
            victim: "preview".into(),
            neighbor: "render".into(),
            slowdown_milli: 4_000,
        };
        let settings = Settings { disturbances: vec![disturbance], ..settings() };
        let worker = attached_worker(settings, &Audit::default());
        let run = Duration::from_millis(50);
        worker.start(&start("j1", 1, 60_000)).expect("a start");
        assert!(measure_request(&worker, run).await >= run * 5);
        let usage = worker.usage(&Usage { incarnation: INCARNATION, after_us: 0 }).expect("usage");
        let has_sample = |kind: &str, slowdown: u32| {
            usage.samples.iter().any(|s| &*s.kind == kind && s.slowdown_milli == slowdown)
        };
        assert!(has_sample("preview", 5_000) && has_sample("render", 1_000));
        let key = key("j1", 1);
        let call = Throttle { incarnation: INCARNATION, key, share_milli: 1 };
        worker.throttle(&call).expect("a throttle");
        assert!(measure_request(&worker, run).await >= run);
        let usage = worker.usage(&Usage { incarnation: INCARNATION, after_us: 0 }).expect("usage");
        assert!(usage.samples.iter().any(|s| &*s.kind == "preview" && s.slowdown_milli == 1_004));
    });
}

#[test]
fn usage_samples_are_held_back_by_the_reporting_lag() {
    run(async {
        let settings = Settings { report_lag: LONG_LEASE, ..settings() };
        let worker = attached_worker(settings, &Audit::default());
        worker.start(&start("j1", 1, 60_000)).expect("a start");
        monoio::time::sleep(Duration::from_millis(50)).await;
        let usage = worker.usage(&Usage { incarnation: INCARNATION, after_us: 0 }).expect("usage");
        assert!(usage.samples.is_empty());
    });
}

#[test]
fn every_violated_guarantee_is_counted() {
    run(async {
        let audit = Audit::default();
        let mut settings = settings();
        settings.capacity.memory_mib = 50;
        settings.profiles = vec![Profile { kind: "render".into(), ..Profile::default() }];
        settings.leaving_grace = Duration::ZERO;
        let first = attached_worker(settings.clone(), &audit);
        let second = attached_worker(settings, &audit);
        first.start(&start("j1", 1, 60_000)).expect("a start");
        assert_eq!(audit.record().violations.total(), 0);
        second.start(&start("j1", 2, 60_000)).expect("a second start elsewhere");
        let twice =
            Violations { job_ran_twice_at_once: 1, ran_more_than_once: 1, ..Violations::default() };
        assert_eq!(audit.record().violations, twice);
        let wide = Bundle { slots: 2, ..Bundle::default() };
        first.start(&Start { resources: wide, ..start("j2", 1, 60_000) }).expect("a start");
        assert_eq!(audit.record().violations.capacity_exceeded, 1);
        for attempt in [1, 2] {
            let resumed = Start { checkpoint: "c:1/2000".to_owned(), ..start("j3", attempt, 10) };
            first.start(&resumed).expect("a start");
            assert_eq!(wait_for_end(&first, "j3").await, Phase::Done);
            let call = Acknowledge { incarnation: INCARNATION, keys: vec![key("j3", attempt)] };
            first.acknowledge(&call).expect("an acknowledgement");
        }
        assert_eq!(audit.record().violations.resumed_twice, 1);
        monoio::time::sleep(Duration::from_millis(30)).await;
        assert!(audit.record().violations.memory_exhausted > 0);
        second.leave();
        monoio::time::sleep(Duration::from_millis(2)).await;
        second.start(&start("j4", 1, 60_000)).expect("a start");
        assert_eq!(audit.record().violations.started_on_leaving, 1);
        let request = |id: &str| Request {
            id: id.into(),
            request_id: Some("billed".into()),
            kind: "preview".into(),
            resources: Bundle::default(),
            idempotent: false,
            run: Some(Duration::from_millis(1)),
        };
        let before = audit.record().violations.ran_more_than_once;
        first.run_request(Some(INCARNATION), request("r1")).await.expect("a run");
        assert_eq!(audit.record().violations.ran_more_than_once, before);
        first.run_request(Some(INCARNATION), request("r2")).await.expect("a run");
        assert_eq!(audit.record().violations.ran_more_than_once, before + 1);
    });
}

//! Tests of leases and epochs under late, stale and repeated replies.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use shallotflow_policy::lease::{Command, Grant, Observation, Owned, Reply, StopOrder, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_millis(60);

fn key(ledger: u32, job: u8) -> Key {
    Key { ledger, job: format!("j{job}").into(), attempt: 1 }
}

fn grant(key: Key, epoch: u64) -> Grant {
    Grant {
        key,
        epoch,
        caller: "clerk".into(),
        kind: "render".into(),
        resources: Bundle::default(),
        expected_run: Duration::ZERO,
        idempotent: false,
        checkpoint: String::new(),
        payload: String::new(),
        priority: 0,
    }
}

fn seen(phase: Phase) -> Observation {
    let (checkpoint, reason) = (String::new(), String::new());
    Observation { phase, checkpoint, reason, run_ms: 0, unsaved_ms: 0 }
}

fn reply(sent: Time, owned: Owned) -> Reply {
    Reply { sent, lease: LEASE, owned: vec![owned], ..Reply::default() }
}

/// An event at an agent.
#[derive(Clone, Debug)]
enum Step {
    /// A reply from the owner of `ledger` with `epoch` to a report sent `age_ms` ago.
    Reply {
        ledger: u32,
        epoch: u64,
        age_ms: u64,
        decision: Decision,
        jobs: Vec<u8>,
    },
    /// The start of the task is sent to the worker, if the task may still start.
    Send(u32, u8),
    /// The worker reports that the task has ended.
    End(u32, u8),
    /// The agent pauses for this time, milliseconds.
    Wait(u64),
    Tick,
}

#[derive(Clone, Copy, Debug)]
enum Decision {
    Grant,
    Renew,
    Stop,
    Settle,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let decision = prop_oneof![
        Just(Decision::Grant),
        Just(Decision::Renew),
        Just(Decision::Stop),
        Just(Decision::Settle)
    ];
    let jobs = prop::collection::vec(0..4_u8, 0..4);
    let reply = (0..2_u32, 1..4_u64, 0..130_u64, decision, jobs).prop_map(
        |(ledger, epoch, age_ms, decision, jobs)| Step::Reply {
            ledger,
            epoch,
            age_ms,
            decision,
            jobs,
        },
    );
    let send = (0..2_u32, 0..4_u8).prop_map(|(ledger, job)| Step::Send(ledger, job));
    let end = (0..2_u32, 0..4_u8).prop_map(|(ledger, job)| Step::End(ledger, job));
    let wait = (0..60_u64).prop_map(Step::Wait);
    let step = prop_oneof![4 => reply, 3 => send, 1 => end, 2 => wait, 2 => Just(Step::Tick)];
    prop::collection::vec(step, 1..100)
}

/// A model of the leases and epochs that owners rely on, kept separately from the table.
#[derive(Default)]
struct Oracle {
    epochs: BTreeMap<u32, u64>,
    /// The latest lease end that any owner has given each task.
    lease_ends: BTreeMap<Key, Time>,
    sent: BTreeSet<Key>,
}

impl Oracle {
    /// Records an epoch; returns whether a reply with it may still take effect.
    fn observe_epoch(&mut self, ledger: u32, epoch: u64) -> bool {
        let highest = self.epochs.entry(ledger).or_default();
        *highest = (*highest).max(epoch);
        epoch == *highest
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_task_starts_or_runs_beyond_its_lease(steps in steps()) {
        let mut table = Table::default();
        let mut oracle = Oracle::default();
        let mut now = Time::from_millis(1_000);
        for step in steps {
            match step {
                Step::Wait(ms) => now = now.after(Duration::from_millis(ms)),
                Step::Tick => {
                    for command in table.tick(MAX_WAIT, now) {
                        let withdrawn = matches!(&command, Command::Withdraw(key)
                            if !oracle.sent.contains(key));
                        let stopped = matches!(&command, Command::Stop(key)
                            if oracle.sent.contains(key) && oracle.lease_ends[key].passed(now));
                        prop_assert!(withdrawn || stopped, "{command:?}");
                    }
                }
                Step::Send(ledger, job) => {
                    let key = key(ledger, job);
                    if table.mark_sent(&key, now) {
                        prop_assert!(!oracle.lease_ends[&key].passed(now));
                        oracle.sent.insert(key);
                    }
                }
                Step::End(ledger, job) => {
                    let key = key(ledger, job);
                    if oracle.sent.contains(&key) {
                        table.observe(&key, &seen(Phase::Done));
                    }
                }
                Step::Reply { ledger, epoch, age_ms, decision, jobs } => {
                    let sent = now.before(Duration::from_millis(age_ms));
                    let keys: Vec<Key> = jobs.iter().map(|job| key(ledger, *job)).collect();
                    let mut reply = reply(sent, Owned { ledger, epoch });
                    match decision {
                        Decision::Grant => {
                            reply.grants = keys.iter().map(|k| grant(k.clone(), epoch)).collect();
                        }
                        Decision::Renew => reply.reported.clone_from(&keys),
                        Decision::Settle => reply.settled.clone_from(&keys),
                        Decision::Stop => {
                            let stop = |key: &Key| StopOrder { key: key.clone(), epoch };
                            reply.stops = keys.iter().map(stop).collect();
                        }
                    }
                    let end = sent.after(LEASE);
                    let commands = table.apply_reply(&reply, now);
                    prop_assert!(!end.passed(now) || commands.is_empty(), "a late reply applied");
                    let current = !end.passed(now) && oracle.observe_epoch(ledger, epoch);
                    for command in commands {
                        match command {
                            Command::Offer(key) => {
                                prop_assert!(current && !oracle.lease_ends.contains_key(&key));
                                oracle.lease_ends.insert(key, end);
                            }
                            Command::Renew(key, until) => {
                                prop_assert!(current && reply.reported.contains(&key));
                                let old = oracle.lease_ends[&key];
                                prop_assert!(!old.passed(now), "an expired lease was renewed");
                                prop_assert_eq!(until, old.max(end));
                                oracle.lease_ends.insert(key, until);
                            }
                            Command::Stop(key) => {
                                prop_assert!(current && oracle.sent.contains(&key));
                            }
                            Command::Withdraw(key) => prop_assert!(!oracle.sent.contains(&key)),
                            Command::Checkpoint(key) => prop_assert!(false, "unexpected {key}"),
                            Command::Acknowledge(key) => {
                                prop_assert!(oracle.sent.remove(&key));
                            }
                        }
                    }
                    if current && matches!(decision, Decision::Renew) {
                        // A renewal of a task that has not been sent needs no command to the
                        // worker.
                        for (key, task) in table.tasks() {
                            let lease_end =
                                oracle.lease_ends.entry(key.clone()).or_insert(task.deadline);
                            prop_assert!(task.deadline <= (*lease_end).max(end));
                            *lease_end = task.deadline;
                        }
                    }
                    // Settled tasks are removed and may be granted again.
                    oracle.lease_ends.retain(|key, _| table.get(key).is_some());
                }
            }
            for (key, task) in table.tasks() {
                prop_assert!(task.phase.is_final() || task.deadline <= oracle.lease_ends[key]);
            }
        }
    }
}

#[test]
fn a_restarted_agent_learns_epochs_from_the_tasks_of_its_worker() {
    let now = Time::from_millis(1_000);
    let mut table = Table::default();
    let adoption = shallotflow_policy::lease::Adoption {
        epoch: 5,
        kind: "render".into(),
        resources: Bundle::default(),
        deadline: now.after(LEASE),
        started: now,
    };
    table.adopt(key(1, 1), adoption, &seen(Phase::Running));
    let mut stale = reply(now, Owned { ledger: 1, epoch: 4 });
    stale.grants = vec![grant(key(1, 2), 4)];
    assert!(table.apply_reply(&stale, now).is_empty());
    let mut renewal = reply(now.after(LEASE / 2), Owned { ledger: 1, epoch: 5 });
    renewal.reported = vec![key(1, 1)];
    let until = renewal.sent.after(LEASE);
    assert_eq!(table.apply_reply(&renewal, renewal.sent), vec![Command::Renew(key(1, 1), until)]);
}

#[test]
fn a_running_task_is_checkpointed_before_its_lease_expires_unless_it_is_renewed() {
    let mut table = Table::default();
    let task = key(1, 1);
    let owned = Owned { ledger: 1, epoch: 1 };
    let sent = Time::from_millis(1_000);
    table.apply_reply(&Reply { grants: vec![grant(task.clone(), 1)], ..reply(sent, owned) }, sent);
    assert!(table.mark_sent(&task, sent));
    table.observe(&task, &seen(Phase::Running));

    let renewed = sent.after(LEASE / 2);
    table.apply_reply(&Reply { reported: vec![task.clone()], ..reply(renewed, owned) }, renewed);
    assert!(table.tick(MAX_WAIT, sent.after(LEASE)).is_empty());

    let end = renewed.after(LEASE);
    assert_eq!(table.tick(MAX_WAIT, end.before(LEASE / 10)), vec![Command::Checkpoint(task)]);
    assert!(table.tick(MAX_WAIT, end).is_empty(), "the task is already being stopped");
}

//! Leases and epochs under replies that are late, stale or repeated.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use shallotflow_policy::lease::{Command, Grant, Observation, Owned, Reply, StopOrder, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_millis(60);

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

/// What may happen to an agent.
#[derive(Clone, Debug)]
enum Step {
    /// A reply of the owner of `ledger` with `epoch` to a report sent `age_ms` ago.
    Reply {
        ledger: u32,
        epoch: u64,
        age_ms: u64,
        what: What,
        jobs: Vec<u8>,
    },
    /// The worker is told to start the task, if it still may.
    Send(u32, u8),
    /// The worker says that the task has ended.
    End(u32, u8),
    /// The agent is paused.
    Wait(u64),
    Tick,
}

#[derive(Clone, Copy, Debug)]
enum What {
    Grant,
    Renew,
    Stop,
    Settle,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let what =
        prop_oneof![Just(What::Grant), Just(What::Renew), Just(What::Stop), Just(What::Settle)];
    let jobs = prop::collection::vec(0..4_u8, 0..4);
    let reply = (0..2_u32, 1..4_u64, 0..130_u64, what, jobs).prop_map(
        |(ledger, epoch, age_ms, what, jobs)| Step::Reply { ledger, epoch, age_ms, what, jobs },
    );
    let send = (0..2_u32, 0..4_u8).prop_map(|(ledger, job)| Step::Send(ledger, job));
    let end = (0..2_u32, 0..4_u8).prop_map(|(ledger, job)| Step::End(ledger, job));
    let wait = (0..60_u64).prop_map(Step::Wait);
    let step = prop_oneof![4 => reply, 3 => send, 1 => end, 2 => wait, 2 => Just(Step::Tick)];
    prop::collection::vec(step, 1..100)
}

/// What an owner may rely on, kept apart from the table.
#[derive(Default)]
struct Oracle {
    epochs: BTreeMap<u32, u64>,
    /// The latest end of each task's lease that any owner gave it.
    ends: BTreeMap<Key, Time>,
    sent: BTreeSet<Key>,
}

impl Oracle {
    /// Whether a reply with `epoch` may still have an effect.
    fn hear(&mut self, ledger: u32, epoch: u64) -> bool {
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
    fn no_task_starts_or_runs_beyond_what_its_owner_gave(steps in steps()) {
        let mut table = Table::default();
        let mut oracle = Oracle::default();
        let mut now = Time::from_millis(1_000);
        for step in steps {
            match step {
                Step::Wait(ms) => now = now.after(Duration::from_millis(ms)),
                Step::Tick => {
                    for command in table.tick(PATIENCE, now) {
                        let withdrawn = matches!(&command, Command::Withdraw(key)
                            if !oracle.sent.contains(key));
                        let stopped = matches!(&command, Command::Stop(key)
                            if oracle.sent.contains(key) && oracle.ends[key].passed(now));
                        prop_assert!(withdrawn || stopped, "{command:?}");
                    }
                }
                Step::Send(ledger, job) => {
                    let key = key(ledger, job);
                    if table.mark_sent(&key, now) {
                        prop_assert!(!oracle.ends[&key].passed(now));
                        oracle.sent.insert(key);
                    }
                }
                Step::End(ledger, job) => {
                    let key = key(ledger, job);
                    if oracle.sent.contains(&key) {
                        table.observe(&key, &seen(Phase::Done));
                    }
                }
                Step::Reply { ledger, epoch, age_ms, what, jobs } => {
                    let sent = now.before(Duration::from_millis(age_ms));
                    let keys: Vec<Key> = jobs.iter().map(|job| key(ledger, *job)).collect();
                    let mut reply = reply(sent, Owned { ledger, epoch });
                    match what {
                        What::Grant => {
                            reply.grants = keys.iter().map(|k| grant(k.clone(), epoch)).collect();
                        }
                        What::Renew => reply.reported.clone_from(&keys),
                        What::Settle => reply.settled.clone_from(&keys),
                        What::Stop => {
                            let stop = |key: &Key| StopOrder { key: key.clone(), epoch };
                            reply.stops = keys.iter().map(stop).collect();
                        }
                    }
                    let end = sent.after(LEASE);
                    let commands = table.apply_reply(&reply, now);
                    prop_assert!(!end.passed(now) || commands.is_empty(), "a late reply counted");
                    let current = !end.passed(now) && oracle.hear(ledger, epoch);
                    for command in commands {
                        match command {
                            Command::Offer(key) => {
                                prop_assert!(current && !oracle.ends.contains_key(&key));
                                oracle.ends.insert(key, end);
                            }
                            Command::Renew(key, until) => {
                                prop_assert!(current && reply.reported.contains(&key));
                                let old = oracle.ends[&key];
                                prop_assert!(!old.passed(now), "a lapsed lease was revived");
                                prop_assert_eq!(until, old.max(end));
                                oracle.ends.insert(key, until);
                            }
                            Command::Stop(key) => {
                                prop_assert!(current && oracle.sent.contains(&key));
                            }
                            Command::Withdraw(key) => prop_assert!(!oracle.sent.contains(&key)),
                            Command::Checkpoint(key) => prop_assert!(false, "{key} saved by a reply"),
                            Command::Acknowledge(key) => {
                                prop_assert!(oracle.sent.remove(&key));
                            }
                        }
                    }
                    if current && matches!(what, What::Renew) {
                        // A task that waits for its start is renewed without a call to the worker.
                        for (key, task) in table.tasks() {
                            let given = oracle.ends.entry(key.clone()).or_insert(task.deadline);
                            prop_assert!(task.deadline <= (*given).max(end));
                            *given = task.deadline;
                        }
                    }
                    // What was settled is forgotten and may be granted anew.
                    oracle.ends.retain(|key, _| table.get(key).is_some());
                }
            }
            for (key, task) in table.tasks() {
                prop_assert!(task.phase.is_final() || task.deadline <= oracle.ends[key]);
            }
        }
    }
}

#[test]
fn a_restarted_agent_learns_epochs_from_what_its_worker_holds() {
    let now = Time::from_millis(1_000);
    let mut table = Table::default();
    let held = shallotflow_policy::lease::Adoption {
        epoch: 5,
        kind: "render".into(),
        resources: Bundle::default(),
        deadline: now.after(LEASE),
        started: now,
    };
    table.adopt(key(1, 1), held, &seen(Phase::Running));
    let mut stale = reply(now, Owned { ledger: 1, epoch: 4 });
    stale.grants = vec![grant(key(1, 2), 4)];
    assert!(table.apply_reply(&stale, now).is_empty());
    let mut renewal = reply(now.after(LEASE / 2), Owned { ledger: 1, epoch: 5 });
    renewal.reported = vec![key(1, 1)];
    let until = renewal.sent.after(LEASE);
    assert_eq!(table.apply_reply(&renewal, renewal.sent), vec![Command::Renew(key(1, 1), until)]);
}

#[test]
fn a_running_task_is_saved_before_its_lease_passes_unless_it_is_renewed() {
    let mut table = Table::default();
    let task = key(1, 1);
    let owned = Owned { ledger: 1, epoch: 1 };
    let sent = Time::from_millis(1_000);
    table.apply_reply(&Reply { grants: vec![grant(task.clone(), 1)], ..reply(sent, owned) }, sent);
    assert!(table.mark_sent(&task, sent));
    table.observe(&task, &seen(Phase::Running));

    let renewed = sent.after(LEASE / 2);
    table.apply_reply(&Reply { reported: vec![task.clone()], ..reply(renewed, owned) }, renewed);
    assert!(table.tick(PATIENCE, sent.after(LEASE)).is_empty());

    let end = renewed.after(LEASE);
    assert_eq!(table.tick(PATIENCE, end.before(LEASE / 10)), vec![Command::Checkpoint(task)]);
    assert!(table.tick(PATIENCE, end).is_empty(), "it is being stopped already");
}

//! The table of tasks with the highest epochs seen.

use super::{Command, Grant, Owned, Reply, StopOrder, Task};
use crate::injected::{self, Fault};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Batch tasks of one worker.
#[derive(Clone, Debug, Default)]
pub struct Table {
    tasks: BTreeMap<Key, Task>,
    epochs: BTreeMap<u32, u64>,
}

impl Table {
    /// All tasks that are not settled.
    pub fn tasks(&self) -> impl Iterator<Item = (&Key, &Task)> {
        self.tasks.iter()
    }

    /// One task.
    pub fn get(&self, key: &Key) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// The highest epoch seen of each ledger.
    pub fn epochs(&self) -> impl Iterator<Item = Owned> {
        self.epochs.iter().map(|(&ledger, &epoch)| Owned { ledger, epoch })
    }

    /// Takes an owner's decisions; a reply that comes after its lease has no effect.
    pub fn apply_reply(&mut self, reply: &Reply, now: Time) -> Vec<Command> {
        let from = if injected::is_on(Fault::LeaseFromArrival) { now } else { reply.sent };
        let deadline = from.after(reply.lease);
        let mut commands = Vec::new();
        if deadline.passed(now) {
            return commands;
        }
        for owned in &reply.owned {
            if self.admits(owned.ledger, owned.epoch) {
                self.renew(owned.ledger, &reply.reported, deadline, now, &mut commands);
            }
        }
        for stop in &reply.stops {
            self.stop(stop, &mut commands);
        }
        for key in &reply.settled {
            self.settle(key, &mut commands);
        }
        for grant in &reply.grants {
            self.grant(grant, deadline, now, &mut commands);
        }
        commands
    }

    /// Saves tasks whose lease is about to pass, ends those whose lease has passed, and gives back
    /// those that have waited for `patience`.
    pub fn tick(&mut self, patience: Duration, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        for (key, task) in &mut self.tasks {
            if task.phase.is_final() {
                continue;
            }
            let lapsed = task.deadline.passed(now);
            let impatient = task.accepted.after(patience).passed(now);
            if !task.sent && (lapsed || impatient) {
                task.refuse("the worker had no room for it in time");
                commands.push(Command::Withdraw(key.clone()));
            } else if lapsed && !task.stopping {
                task.stopping = true;
                commands.push(Command::Stop(key.clone()));
            } else if task.phase == Phase::Running && task.save_at.passed(now) && !task.stopping {
                task.stopping = true;
                commands.push(Command::Checkpoint(key.clone()));
            }
        }
        commands
    }

    /// The task's start is being sent; `false` when it must not start any more.
    pub fn mark_sent(&mut self, key: &Key, now: Time) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        if task.phase != Phase::Accepted || task.stopping || task.deadline.passed(now) {
            return false;
        }
        task.sent = true;
        task.started = now;
        true
    }

    /// The agent stops the task by itself; its lease is not renewed any more.
    pub fn mark_stopping(&mut self, key: &Key) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.stopping = true;
        }
    }

    /// The task was not started and never will be.
    pub fn refuse(&mut self, key: &Key, reason: &str) {
        if let Some(task) = self.tasks.get_mut(key).filter(|task| !task.phase.is_final()) {
            task.refuse(reason);
        }
    }

    /// The worker says how far a task has come; `true` when it has just ended.
    pub fn observe(&mut self, key: &Key, seen: &Observation) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        if task.phase.is_final() {
            return false;
        }
        task.sent = true;
        task.phase = seen.phase;
        task.checkpoint.clone_from(&seen.checkpoint);
        task.reason.clone_from(&seen.reason);
        task.run_ms = seen.run_ms;
        task.unsaved_ms = seen.unsaved_ms;
        seen.phase.is_final()
    }

    /// The worker's list, asked for at `asked`, names `listed` only; returns the tasks that thereby
    /// never started.
    ///
    /// A start may still be on its way to the worker until the task's lease passes. Afterwards the
    /// worker refuses it, and would have listed a task that it took before.
    pub fn refuse_unlisted(&mut self, listed: &BTreeSet<Key>, asked: Time) -> Vec<Key> {
        let mut missed = Vec::new();
        for (key, task) in &mut self.tasks {
            let due = task.may_run() && task.deadline.passed(asked);
            if due && !listed.contains(key) {
                task.refuse("its start did not reach the worker");
                missed.push(key.clone());
            }
        }
        missed
    }

    /// Takes over a task that the worker holds and this table does not know.
    pub fn adopt(&mut self, key: Key, held: Adoption, seen: &Observation) {
        let seen_epoch = self.epochs.entry(key.ledger).or_default();
        *seen_epoch = (*seen_epoch).max(held.epoch);
        if self.tasks.contains_key(&key) {
            return;
        }
        let grant = Grant {
            key: key.clone(),
            epoch: held.epoch,
            caller: "".into(),
            kind: held.kind,
            resources: held.resources,
            expected_run: Duration::ZERO,
            idempotent: false,
            checkpoint: String::new(),
            payload: String::new(),
            priority: 0,
        };
        let mut task = Task::new(grant, held.deadline, held.started);
        // How much of its lease is left is not known before the next renewal.
        task.save_at = Time::NEVER;
        task.sent = true;
        task.started = held.started;
        self.tasks.insert(key.clone(), task);
        self.observe(&key, seen);
    }

    fn admits(&mut self, ledger: u32, epoch: u64) -> bool {
        let seen = self.epochs.entry(ledger).or_default();
        if epoch < *seen && !injected::is_on(Fault::FenceSkipped) {
            return false;
        }
        *seen = epoch;
        true
    }

    fn renew(
        &mut self,
        ledger: u32,
        reported: &[Key],
        deadline: Time,
        now: Time,
        commands: &mut Vec<Command>,
    ) {
        for key in reported.iter().filter(|key| key.ledger == ledger) {
            let Some(task) = self.tasks.get_mut(key) else { continue };
            // A lease that has passed is never revived: the task is being stopped.
            if task.phase.is_final() || task.stopping || task.deadline.passed(now) {
                continue;
            }
            task.extend(deadline, now);
            if task.sent {
                commands.push(Command::Renew(key.clone(), task.deadline));
            }
        }
    }

    fn stop(&mut self, stop: &StopOrder, commands: &mut Vec<Command>) {
        if !self.admits(stop.key.ledger, stop.epoch) {
            return;
        }
        let Some(task) = self.tasks.get_mut(&stop.key) else { return };
        if task.phase.is_final() {
            return;
        }
        if !task.sent {
            task.refuse("stopped by its owner before it started");
            commands.push(Command::Withdraw(stop.key.clone()));
        } else {
            task.stopping = true;
            commands.push(Command::Stop(stop.key.clone()));
        }
    }

    fn settle(&mut self, key: &Key, commands: &mut Vec<Command>) {
        let ended = self.tasks.get(key).is_some_and(|task| task.phase.is_final());
        if !ended {
            return;
        }
        let sent = self.tasks.remove(key).is_some_and(|task| task.sent);
        if sent {
            commands.push(Command::Acknowledge(key.clone()));
        }
    }

    fn grant(&mut self, grant: &Grant, deadline: Time, now: Time, commands: &mut Vec<Command>) {
        if !self.admits(grant.key.ledger, grant.epoch) || self.tasks.contains_key(&grant.key) {
            return;
        }
        let key = grant.key.clone();
        self.tasks.insert(key.clone(), Task::new(grant.clone(), deadline, now));
        commands.push(Command::Offer(key));
    }
}

/// What a worker says of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// How far it has come.
    pub phase: Phase,
    /// The last checkpoint, empty if none.
    pub checkpoint: String,
    /// Why it ended, if not well.
    pub reason: String,
    /// Time spent running, milliseconds.
    pub run_ms: u64,
    /// Time spent running since the last checkpoint, milliseconds.
    pub unsaved_ms: u64,
}

/// A task that was found at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// The epoch of the grant that started it.
    pub epoch: u64,
    /// The kind of work.
    pub kind: Name,
    /// What is set aside for it.
    pub resources: Bundle,
    /// Until when it may run without a renewal.
    pub deadline: Time,
    /// When it started, at the latest.
    pub started: Time,
}

//! The table of leased tasks and of the highest epoch seen per ledger.

use super::{Command, Grant, Owned, Reply, StopOrder, Task};
use crate::injected::{self, Fault};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Leased batch tasks of one worker.
#[derive(Clone, Debug, Default)]
pub struct Table {
    tasks: BTreeMap<Key, Task>,
    epochs: BTreeMap<u32, u64>,
}

impl Table {
    /// Iterates over all tasks that are not settled.
    pub fn tasks(&self) -> impl Iterator<Item = (&Key, &Task)> {
        self.tasks.iter()
    }

    /// Returns a task.
    pub fn get(&self, key: &Key) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// Iterates over the ledgers with the highest epoch seen of each.
    pub fn epochs(&self) -> impl Iterator<Item = Owned> {
        self.epochs.iter().map(|(&ledger, &epoch)| Owned { ledger, epoch })
    }

    /// Applies a reply of an owner; a reply that arrives after the end of its lease has no effect.
    pub fn apply_reply(&mut self, reply: &Reply, now: Time) -> Vec<Command> {
        let from = if injected::is_on(Fault::LeaseFromArrival) { now } else { reply.sent };
        let deadline = from.after(reply.lease);
        let mut commands = Vec::new();
        if deadline.passed(now) {
            return commands;
        }
        for owned in &reply.owned {
            if self.accept_epoch(owned.ledger, owned.epoch) {
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

    /// Checkpoints tasks whose lease is about to expire, stops those whose lease has expired, and
    /// refuses those that have waited longer than `max_wait` for a start.
    pub fn tick(&mut self, max_wait: Duration, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        for (key, task) in &mut self.tasks {
            if task.phase.is_final() {
                continue;
            }
            let lapsed = task.deadline.passed(now);
            let waited_too_long = task.accepted.after(max_wait).passed(now);
            if !task.sent && (lapsed || waited_too_long) {
                task.refuse("the worker had no room for it in time");
                commands.push(Command::Withdraw(key.clone()));
            } else if lapsed && !task.stopping {
                task.stopping = true;
                commands.push(Command::Stop(key.clone()));
            } else if task.phase == Phase::Running
                && task.checkpoint_at.passed(now)
                && !task.stopping
            {
                task.stopping = true;
                commands.push(Command::Checkpoint(key.clone()));
            }
        }
        commands
    }

    /// Marks the task's start as sent; returns `false` if the task must not start any more.
    pub fn mark_sent(&mut self, key: &Key, now: Time) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        if task.phase != Phase::Accepted || task.stopping || task.deadline.passed(now) {
            return false;
        }
        task.sent = true;
        task.started = now;
        true
    }

    /// Marks a task as being stopped by the agent, so that its lease is no longer renewed.
    pub fn mark_stopping(&mut self, key: &Key) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.stopping = true;
        }
    }

    /// Refuses a task that was not started and never will be.
    pub fn refuse(&mut self, key: &Key, reason: &str) {
        if let Some(task) = self.tasks.get_mut(key).filter(|task| !task.phase.is_final()) {
            task.refuse(reason);
        }
    }

    /// Applies a worker's observation of a task; returns `true` if the task has just ended.
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

    /// Refuses tasks that are missing from the worker's task list `listed`, requested at `asked`,
    /// and that therefore never started; returns them.
    ///
    /// Until the task's lease expires, its start may still be in flight to the worker. Afterwards
    /// the worker refuses the start, and would list the task if it had started it before.
    pub fn refuse_unlisted(&mut self, listed: &BTreeSet<Key>, asked: Time) -> Vec<Key> {
        let mut refused = Vec::new();
        for (key, task) in &mut self.tasks {
            let due = task.may_run() && task.deadline.passed(asked);
            if due && !listed.contains(key) {
                task.refuse("its start did not reach the worker");
                refused.push(key.clone());
            }
        }
        refused
    }

    /// Adopts a task that runs at the worker and that this table does not know.
    pub fn adopt(&mut self, key: Key, adoption: Adoption, seen: &Observation) {
        let highest = self.epochs.entry(key.ledger).or_default();
        *highest = (*highest).max(adoption.epoch);
        if self.tasks.contains_key(&key) {
            return;
        }
        let grant = Grant {
            key: key.clone(),
            epoch: adoption.epoch,
            caller: "".into(),
            kind: adoption.kind,
            resources: adoption.resources,
            expected_run: Duration::ZERO,
            idempotent: false,
            checkpoint: String::new(),
            payload: String::new(),
            priority: 0,
        };
        let mut task = Task::new(grant, adoption.deadline, adoption.started);
        // The length of its lease is unknown until the next renewal.
        task.checkpoint_at = Time::NEVER;
        task.sent = true;
        task.started = adoption.started;
        self.tasks.insert(key.clone(), task);
        self.observe(&key, seen);
    }

    fn accept_epoch(&mut self, ledger: u32, epoch: u64) -> bool {
        let highest = self.epochs.entry(ledger).or_default();
        if epoch < *highest && !injected::is_on(Fault::FenceSkipped) {
            return false;
        }
        *highest = epoch;
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
            // An expired lease is never renewed: the task is being stopped.
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
        if !self.accept_epoch(stop.key.ledger, stop.epoch) {
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
        if !self.accept_epoch(grant.key.ledger, grant.epoch) || self.tasks.contains_key(&grant.key)
        {
            return;
        }
        let key = grant.key.clone();
        self.tasks.insert(key.clone(), Task::new(grant.clone(), deadline, now));
        commands.push(Command::Offer(key));
    }
}

/// The state of a task as reported by the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The phase of the task.
    pub phase: Phase,
    /// The last checkpoint; empty if none.
    pub checkpoint: String,
    /// Why the task ended unsuccessfully; empty otherwise.
    pub reason: String,
    /// Total run time, milliseconds.
    pub run_ms: u64,
    /// Run time since the last checkpoint, milliseconds.
    pub unsaved_ms: u64,
}

/// A task that an agent finds at its worker and adopts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// The epoch of the grant that started it.
    pub epoch: u64,
    /// The kind of work.
    pub kind: Name,
    /// The resources reserved for it.
    pub resources: Bundle,
    /// The end of its lease.
    pub deadline: Time,
    /// Latest time at which it can have started.
    pub started: Time,
}

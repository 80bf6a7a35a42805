//! A fake worker that runs tasks under leases and accepts commands of one agent incarnation only.

use super::oracle::Oracle;
use super::packet::Command;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// Resources that every task needs.
pub(crate) const NEED: Bundle =
    Bundle { slots: 1, connections: 0, millicores: 500, memory_mib: 64, accelerators: 0 };

/// Capacity of every worker.
pub(crate) const CAPACITY: Bundle =
    Bundle { slots: 2, connections: 8, millicores: 1_000, memory_mib: 128, accelerators: 0 };

/// A task at the worker.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) epoch: u64,
    pub(crate) phase: Phase,
    pub(crate) checkpoint: Option<Name>,
    pub(crate) deadline: Time,
}

/// A worker with its tasks.
#[derive(Debug)]
pub(crate) struct Worker {
    number: usize,
    boot: u64,
    attached: u64,
    tasks: BTreeMap<Key, Task>,
    checkpoints: u64,
}

impl Worker {
    pub(crate) fn new(number: usize) -> Self {
        Self { number, boot: 1, attached: 0, tasks: BTreeMap::new(), checkpoints: 0 }
    }

    /// Returns the number of the boot, which changes with each restart.
    pub(crate) fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns the agent incarnation whose commands are accepted; 0 for none.
    pub(crate) fn attached(&self) -> u64 {
        self.attached
    }

    /// Accepts commands of `incarnation` from now on, unless a newer one is attached.
    pub(crate) fn attach(&mut self, incarnation: u64) -> bool {
        if incarnation < self.attached {
            return false;
        }
        self.attached = incarnation;
        true
    }

    pub(crate) fn tasks(&self) -> &BTreeMap<Key, Task> {
        &self.tasks
    }

    /// Restarts the worker, which loses all tasks.
    pub(crate) fn restart(&mut self, oracle: &mut Oracle) {
        for (key, task) in &self.tasks {
            if !task.phase.is_final() {
                oracle.stop(key);
            }
        }
        self.tasks.clear();
        self.boot += 1;
        self.attached = 0;
    }

    /// Stops tasks whose lease has expired.
    pub(crate) fn tick(&mut self, now: Time, oracle: &mut Oracle) {
        for (key, task) in &mut self.tasks {
            if !task.phase.is_final() && task.deadline.passed(now) {
                task.phase = Phase::Lapsed;
                oracle.stop(key);
            }
        }
    }

    /// Carries out a command; returns `false` if it is refused.
    pub(crate) fn carry_out(
        &mut self,
        incarnation: u64,
        command: &Command,
        now: Time,
        oracle: &mut Oracle,
    ) -> bool {
        self.tick(now, oracle);
        if incarnation != self.attached {
            return false;
        }
        match command {
            Command::Start { key, epoch, checkpoint, deadline } => {
                return self.start(key, *epoch, checkpoint.clone(), *deadline, now, oracle);
            }
            Command::Renew { key, deadline } => {
                if let Some(task) = self.live(key) {
                    task.deadline = task.deadline.max(*deadline);
                }
            }
            Command::Stop { key, checkpoint } => self.stop(key, *checkpoint, oracle),
            Command::Acknowledge { key } => {
                let task = self.tasks.get(key).filter(|task| task.phase.is_final());
                // Within its lease, no owner can have declared the task lost before it learned its
                // end.
                if task.is_some_and(|task| task.phase == Phase::Done && !task.deadline.passed(now))
                {
                    oracle.acknowledge(key);
                }
                if task.is_some() {
                    self.tasks.remove(key);
                }
            }
        }
        true
    }

    /// Returns a running task, selected by `position` modulo their number, if there is one.
    pub(crate) fn nth_running(&self, position: usize) -> Option<Key> {
        let live: Vec<&Key> = self
            .tasks
            .iter()
            .filter(|(_, task)| !task.phase.is_final())
            .map(|(key, _)| key)
            .collect();
        live.get(position % live.len().max(1)).map(|key| (*key).clone())
    }

    /// Ends a task with `phase`.
    pub(crate) fn finish(&mut self, key: &Key, phase: Phase, oracle: &mut Oracle) {
        let Some(task) = self.live(key) else { return };
        task.phase = phase;
        match phase {
            Phase::Done => oracle.end(key),
            _ => oracle.stop(key),
        }
    }

    /// Checkpoints a task.
    pub(crate) fn checkpoint(&mut self, key: &Key) {
        self.checkpoints += 1;
        let name = Name::from(format!("w{}-b{}-c{}", self.number, self.boot, self.checkpoints));
        if let Some(task) = self.live(key) {
            task.checkpoint = Some(name);
        }
    }

    fn live(&mut self, key: &Key) -> Option<&mut Task> {
        self.tasks.get_mut(key).filter(|task| !task.phase.is_final())
    }

    fn start(
        &mut self,
        key: &Key,
        epoch: u64,
        checkpoint: Option<Name>,
        deadline: Time,
        now: Time,
        oracle: &mut Oracle,
    ) -> bool {
        if self.tasks.contains_key(key) {
            return true;
        }
        if deadline.passed(now) {
            return false;
        }
        oracle.start(self.number, key, checkpoint.as_ref());
        let task = Task { epoch, phase: Phase::Running, checkpoint, deadline };
        self.tasks.insert(key.clone(), task);
        let live = self.tasks.values().filter(|task| !task.phase.is_final()).count();
        let used = (0..live).fold(Bundle::default(), |sum, _| sum.plus(&NEED));
        oracle.load(self.number, &used, &CAPACITY);
        true
    }

    fn stop(&mut self, key: &Key, checkpoint: bool, oracle: &mut Oracle) {
        if checkpoint {
            self.checkpoint(key);
        }
        let Some(task) = self.live(key) else { return };
        task.phase = if checkpoint { Phase::Evicted } else { Phase::Stopped };
        oracle.stop(key);
    }
}

//! A fake worker: runs tasks under leases and takes orders of one incarnation only.

use super::facts::Facts;
use super::packet::Order;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// What every task takes.
pub(crate) const NEED: Bundle =
    Bundle { slots: 1, connections: 0, millicores: 500, memory_mib: 64, accelerators: 0 };

/// What every worker can hold.
pub(crate) const CAPACITY: Bundle =
    Bundle { slots: 2, connections: 8, millicores: 1_000, memory_mib: 128, accelerators: 0 };

/// A task at the worker.
#[derive(Clone, Debug)]
pub(crate) struct Held {
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
    tasks: BTreeMap<Key, Held>,
    checkpoints: u64,
}

impl Worker {
    pub(crate) fn new(number: usize) -> Self {
        Self { number, boot: 1, attached: 0, tasks: BTreeMap::new(), checkpoints: 0 }
    }

    /// Changes with each restart.
    pub(crate) fn boot(&self) -> u64 {
        self.boot
    }

    /// The incarnation whose orders are taken; 0 for none.
    pub(crate) fn attached(&self) -> u64 {
        self.attached
    }

    /// Takes orders of `incarnation` from now on, unless a newer one attached.
    pub(crate) fn attach(&mut self, incarnation: u64) -> bool {
        if incarnation < self.attached {
            return false;
        }
        self.attached = incarnation;
        true
    }

    pub(crate) fn tasks(&self) -> &BTreeMap<Key, Held> {
        &self.tasks
    }

    /// All tasks die, and the worker starts empty.
    pub(crate) fn restart(&mut self, facts: &mut Facts) {
        for (key, held) in &self.tasks {
            if !held.phase.is_final() {
                facts.stop(key);
            }
        }
        self.tasks.clear();
        self.boot += 1;
        self.attached = 0;
    }

    /// Stops tasks whose lease has passed.
    pub(crate) fn tick(&mut self, now: Time, facts: &mut Facts) {
        for (key, held) in &mut self.tasks {
            if !held.phase.is_final() && held.deadline.passed(now) {
                held.phase = Phase::Lapsed;
                facts.stop(key);
            }
        }
    }

    /// Carries out an order; `false` when it is refused.
    pub(crate) fn order(
        &mut self,
        incarnation: u64,
        order: &Order,
        now: Time,
        facts: &mut Facts,
    ) -> bool {
        self.tick(now, facts);
        if incarnation != self.attached {
            return false;
        }
        match order {
            Order::Start { key, epoch, checkpoint, deadline } => {
                return self.start(key, *epoch, checkpoint.clone(), *deadline, now, facts);
            }
            Order::Renew { key, deadline } => {
                if let Some(held) = self.live(key) {
                    held.deadline = held.deadline.max(*deadline);
                }
            }
            Order::Stop { key, checkpoint } => self.stop(key, *checkpoint, facts),
            Order::Acknowledge { key } => {
                let held = self.tasks.get(key).filter(|held| held.phase.is_final());
                // Within its lease, no owner can have given the task up before it heard the end.
                if held.is_some_and(|held| held.phase == Phase::Done && !held.deadline.passed(now))
                {
                    facts.acknowledge(key);
                }
                if held.is_some() {
                    self.tasks.remove(key);
                }
            }
        }
        true
    }

    /// The task with this position among those that run, if there is one.
    pub(crate) fn nth(&self, position: usize) -> Option<Key> {
        let live: Vec<&Key> = self
            .tasks
            .iter()
            .filter(|(_, held)| !held.phase.is_final())
            .map(|(key, _)| key)
            .collect();
        live.get(position % live.len().max(1)).map(|key| (*key).clone())
    }

    /// A task ends by itself.
    pub(crate) fn finish(&mut self, key: &Key, phase: Phase, facts: &mut Facts) {
        let Some(held) = self.live(key) else { return };
        held.phase = phase;
        match phase {
            Phase::Done => facts.end(key),
            _ => facts.stop(key),
        }
    }

    /// A task saves its progress.
    pub(crate) fn checkpoint(&mut self, key: &Key) {
        self.checkpoints += 1;
        let name = Name::from(format!("w{}-b{}-c{}", self.number, self.boot, self.checkpoints));
        if let Some(held) = self.live(key) {
            held.checkpoint = Some(name);
        }
    }

    fn live(&mut self, key: &Key) -> Option<&mut Held> {
        self.tasks.get_mut(key).filter(|held| !held.phase.is_final())
    }

    fn start(
        &mut self,
        key: &Key,
        epoch: u64,
        checkpoint: Option<Name>,
        deadline: Time,
        now: Time,
        facts: &mut Facts,
    ) -> bool {
        if self.tasks.contains_key(key) {
            return true;
        }
        if deadline.passed(now) {
            return false;
        }
        facts.start(self.number, key, checkpoint.as_ref());
        let held = Held { epoch, phase: Phase::Running, checkpoint, deadline };
        self.tasks.insert(key.clone(), held);
        let live = self.tasks.values().filter(|held| !held.phase.is_final()).count();
        let used = (0..live).fold(Bundle::default(), |sum, _| sum.plus(&NEED));
        facts.load(self.number, &used, &CAPACITY);
        true
    }

    fn stop(&mut self, key: &Key, checkpoint: bool, facts: &mut Facts) {
        if checkpoint {
            self.checkpoint(key);
        }
        let Some(held) = self.live(key) else { return };
        held.phase = if checkpoint { Phase::Evicted } else { Phase::Stopped };
        facts.stop(key);
    }
}

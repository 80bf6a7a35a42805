//! A fake agent with its worker that follows the protocol between agents and entries.

use crate::oracle::Oracle;
use crate::step::Work;
use shallotflow_core::job::Record;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::ledger::{Key, Phase, Reply, Report, Settings, Status};
use std::collections::BTreeMap;

const SLOTS: u32 = 3;

/// A task at the worker.
#[derive(Debug)]
struct Task {
    record: Record,
    status: Status,
    lease_end_ms: u64,
}

/// A report in flight.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    sequence: u64,
    sent_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) worker: Name,
    incarnation: u64,
    boot: u64,
    sequence: BTreeMap<usize, u64>,
    outstanding: BTreeMap<usize, Outstanding>,
    epochs: BTreeMap<u32, u64>,
    tasks: Vec<Task>,
    checkpoints: u32,
}

impl Agent {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            worker: format!("w{number}").into(),
            incarnation: 1,
            boot: 1,
            sequence: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            epochs: BTreeMap::new(),
            tasks: Vec::new(),
            checkpoints: 0,
        }
    }

    pub(crate) fn report(&mut self, entry: usize, now_ms: u64) -> Report {
        let sequence = self.sequence.entry(entry).or_default();
        *sequence += 1;
        let sent = Outstanding { sequence: *sequence, sent_ms: now_ms };
        self.outstanding.insert(entry, sent);
        Report {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            sequence: sent.sequence,
            boot: self.boot,
            capacity: Bundle { slots: SLOTS, ..Bundle::default() },
            room: Bundle { slots: self.room(), ..Bundle::default() },
            tasks: self.tasks.iter().map(|task| task.status.clone()).collect(),
            epochs: self.epochs.iter().map(|(ledger, epoch)| (*ledger, *epoch)).collect(),
            ..Report::default()
        }
    }

    /// Applies a reply, unless its report was abandoned or its lease has expired.
    pub(crate) fn apply_reply(
        &mut self,
        entry: usize,
        report_id: (u64, u64),
        reply: &Reply,
        now_ms: u64,
        settings: &Settings,
        oracle: &mut Oracle,
    ) {
        let Some(sent) = self.outstanding.get(&entry).copied() else { return };
        // The agent's clock may be slow, so its lease may last longer than the owner's.
        let lease_ms = settings.task_lease.as_millis() as u64 * 104 / 100;
        let lease_end_ms = sent.sent_ms + lease_ms;
        if report_id != (self.incarnation, sent.sequence) || now_ms >= lease_end_ms {
            return;
        }
        self.outstanding.remove(&entry);
        for (ledger, epoch) in &reply.owned {
            let seen = self.epochs.entry(*ledger).or_default();
            if *epoch < *seen {
                continue;
            }
            *seen = *epoch;
            let of_ledger = |task: &&mut Task| task.status.key.ledger == *ledger;
            for task in self.tasks.iter_mut().filter(of_ledger) {
                task.lease_end_ms = task.lease_end_ms.max(lease_end_ms);
            }
        }
        self.tasks.retain(|task| {
            !reply.settled.contains(&task.status.key) || !task.status.phase.is_final()
        });
        for (key, epoch) in &reply.stops {
            if *epoch >= self.highest_epoch(key.ledger) {
                self.stop(key, oracle);
            }
        }
        for grant in &reply.grants {
            if grant.epoch >= self.highest_epoch(grant.key.ledger) {
                self.accept(&grant.key, &grant.record, lease_end_ms);
            }
        }
    }

    /// Makes progress on a task.
    pub(crate) fn work(
        &mut self,
        pick: usize,
        work: Work,
        settings: &Settings,
        oracle: &mut Oracle,
    ) {
        let count = self.tasks.len().max(1);
        let checkpoint: Name = format!("{}-{}", self.worker, self.checkpoints).into();
        let Some(task) = self.tasks.get_mut(pick % count) else { return };
        let id = &task.record.id;
        let status = &mut task.status;
        match (status.phase, work) {
            (Phase::Accepted, Work::Start) => {
                oracle.start(&task.record, &self.worker);
                status.phase = Phase::Running;
            }
            (Phase::Running, Work::Checkpoint) => {
                self.checkpoints += 1;
                status.checkpoint = Some(checkpoint);
            }
            (Phase::Running, Work::Finish) => {
                oracle.finish(id);
                status.phase = Phase::Done;
            }
            (Phase::Running, Work::Fail) => {
                oracle.fail(id, settings);
                status.phase = Phase::Failed;
                status.reason = "broken".to_owned();
            }
            (Phase::Running, Work::Evict) => {
                self.checkpoints += 1;
                status.checkpoint = Some(checkpoint);
                oracle.interrupt(id);
                status.phase = Phase::Evicted;
            }
            _ => {}
        }
    }

    /// Starts all accepted tasks.
    pub(crate) fn start_all(&mut self, settings: &Settings, oracle: &mut Oracle) {
        for pick in 0..self.tasks.len() {
            self.work(pick, Work::Start, settings, oracle);
        }
    }

    /// Starts and finishes all tasks.
    pub(crate) fn work_all(&mut self, settings: &Settings, oracle: &mut Oracle) {
        for pick in 0..self.tasks.len() {
            self.work(pick, Work::Start, settings, oracle);
            self.work(pick, Work::Finish, settings, oracle);
        }
    }

    /// Iterates over the lease ends of the tasks.
    pub(crate) fn lease_ends(&self) -> impl Iterator<Item = u64> {
        self.tasks.iter().map(|task| task.lease_end_ms)
    }

    /// Stops the tasks whose leases have expired.
    pub(crate) fn expire_tasks(&mut self, now_ms: u64, oracle: &mut Oracle) {
        for task in self.tasks.iter_mut().filter(|task| task.lease_end_ms <= now_ms) {
            end(task, Phase::Lapsed, oracle);
        }
    }

    /// Restarts the agent: it finds the tasks that run at the worker, but forgets those that ended.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence.clear();
        self.outstanding.clear();
        self.epochs.clear();
        self.tasks.retain(|task| task.status.phase == Phase::Running);
    }

    /// Restarts the worker, which loses all tasks, with or without its agent.
    pub(crate) fn reboot(&mut self, with_agent: bool, oracle: &mut Oracle) {
        if with_agent {
            self.restart();
        }
        self.boot += 1;
        for task in self.tasks.drain(..) {
            oracle.interrupt(&task.record.id);
        }
    }

    fn highest_epoch(&self, ledger: u32) -> u64 {
        self.epochs.get(&ledger).copied().unwrap_or_default()
    }

    fn room(&self) -> u32 {
        let held = self.tasks.iter().filter(|task| !task.status.phase.is_final());
        SLOTS.saturating_sub(held.map(|task| task.record.spec.resources.slots).sum())
    }

    fn accept(&mut self, key: &Key, record: &Record, lease_end_ms: u64) {
        if self.tasks.iter().any(|task| task.status.key == *key) {
            return;
        }
        let fits = record.spec.resources.slots <= self.room();
        let phase = if fits { Phase::Accepted } else { Phase::Refused };
        let checkpoint = record.checkpoint.clone();
        let status = Status { key: key.clone(), phase, checkpoint, reason: String::new() };
        self.tasks.push(Task { record: record.clone(), status, lease_end_ms });
    }

    fn stop(&mut self, key: &Key, oracle: &mut Oracle) {
        if let Some(task) = self.tasks.iter_mut().find(|task| task.status.key == *key) {
            end(task, Phase::Stopped, oracle);
        }
    }
}

/// Ends a task that has not ended yet.
fn end(task: &mut Task, phase: Phase, oracle: &mut Oracle) {
    match task.status.phase {
        Phase::Accepted => task.status.phase = Phase::Refused,
        Phase::Running => {
            oracle.interrupt(&task.record.id);
            task.status.phase = phase;
        }
        _ => {}
    }
}

//! What a report says of tasks, and what follows for their jobs.

use super::job::Job;
use super::pending::Item;
use super::shape::Shape;
use super::worker::Worker;
use super::{
    Change, ClockReading, Grant, Key, Pending, Phase, Reply, Report, Status, Table, grant, id,
};
use crate::injected::{self, Fault};
use shallotflow_core::job::State;
use shallotflow_core::name::Name;
use std::collections::BTreeSet;

impl Table {
    /// Takes a report and decides for its worker.
    ///
    /// The decisions leave through [`Table::reply`] once their changes are committed. A report that
    /// is older than one taken before changes nothing and renews nothing.
    pub fn apply_report(&mut self, report: &Report, moment: ClockReading) -> Pending {
        if !self.refresh(report, moment) {
            return Pending::default();
        }
        let mut pending =
            Pending { worker: report.worker.clone(), taken: true, ..Pending::default() };
        for status in &report.tasks {
            judge(self, report, status, &mut pending, moment);
        }
        judge_missing(self, report, moment);
        grant::run(self, report, &mut pending, moment);
        pending
    }

    /// The part of a pending reply that is committed; what is not stays out of it.
    pub fn reply(&self, pending: &Pending) -> Reply {
        if !pending.taken {
            return Reply::default();
        }
        let early = injected::is_on(Fault::AckBeforeCommit);
        let committed = |item: &&Item| early || self.is_committed(item.mark);
        let settled = pending.settled.iter().filter(committed);
        let stops = pending.stops.iter();
        Reply {
            grants: pending.grants.iter().filter_map(|item| self.release(pending, item)).collect(),
            stops: stops.filter_map(|key| Some((key.clone(), self.epoch(key)?))).collect(),
            settled: settled.map(|item| item.key.clone()).collect(),
            owned: self.owned().collect(),
        }
    }

    /// Whether a change is in the store; false for a ledger that is no longer owned.
    pub fn is_committed(&self, mark: Change) -> bool {
        let shard = self.shards.get(&mark.ledger).filter(|shard| shard.epoch == mark.epoch);
        shard.is_some_and(|shard| shard.committed >= mark.number)
    }

    /// Whether a change can still come into the store under this owner.
    pub fn may_commit(&self, mark: Change) -> bool {
        self.shards.get(&mark.ledger).is_some_and(|shard| shard.epoch == mark.epoch)
    }

    fn epoch(&self, key: &Key) -> Option<u64> {
        self.shards.get(&key.ledger).map(|shard| shard.epoch)
    }

    /// The grant of `item`, unless it is uncommitted or the job has moved on.
    fn release(&self, pending: &Pending, item: &Item) -> Option<Grant> {
        if !self.is_committed(item.mark) && !injected::is_on(Fault::GrantBeforeCommit) {
            return None;
        }
        let record = &self.jobs.get(&item.key.job)?.record;
        let starts = is_started_on(&record.state, &pending.worker)
            && record.attempts == item.key.attempt
            && !record.cancelled;
        let epoch = self.epoch(&item.key)?;
        starts.then(|| Grant::new(item.key.clone(), epoch, record))
    }

    /// Updates the worker; returns whether the report is newer than every earlier one.
    fn refresh(&mut self, report: &Report, moment: ClockReading) -> bool {
        let worker =
            self.workers.entry(report.worker.clone()).or_insert_with(|| Worker::new(report));
        if !worker.precedes(report) {
            return false;
        }
        self.free_slots -= u64::from(worker.room.slots);
        worker.refresh(report, &self.settings, moment.now);
        self.free_slots += u64::from(worker.room.slots);
        let shape = Shape::of(worker);
        if !self.shapes.contains(&shape) {
            self.recount_shapes();
        }
        true
    }
}

/// Decides on one listed task.
fn judge(
    table: &mut Table,
    report: &Report,
    status: &Status,
    pending: &mut Pending,
    moment: ClockReading,
) {
    let key = &status.key;
    if !table.shards.contains_key(&key.ledger) || id::ledger(&key.job) != Some(key.ledger) {
        return;
    }
    let current = table.jobs.get(&key.job).is_some_and(|job| {
        let late_end = status.phase == Phase::Done && job.record.state == State::Queued;
        let started = is_started_on(&job.record.state, &report.worker);
        job.record.attempts == key.attempt && (started || late_end)
    });
    if current {
        advance(table, report, status, moment);
    }
    if status.phase.is_final() {
        let mark = table.last_change(&key.job);
        pending.settled.push(Item { key: key.clone(), mark });
        return;
    }
    let cancelled = table.jobs.get(&key.job).is_some_and(|job| job.record.cancelled);
    if !current || cancelled {
        pending.stops.push(key.clone());
    }
}

/// Carries the phase of a current task over to its job.
fn advance(table: &mut Table, report: &Report, status: &Status, moment: ClockReading) {
    let settings = table.settings.clone();
    let reason = &status.reason;
    let id = &status.key.job;
    match status.phase {
        Phase::Accepted | Phase::Running => return note_active(table, report, status),
        Phase::Done => note_success(table, &report.worker),
        Phase::Failed => note_failure(table, &report.worker, moment),
        _ => {}
    }
    table.update(id, |job| {
        job.acknowledge(&status.checkpoint);
        match status.phase {
            Phase::Done => job.finish(moment),
            Phase::Failed => job.fail(reason, &settings, moment),
            Phase::Refused => job.unstart(moment),
            Phase::Evicted => job.interrupt("evicted without a checkpoint", moment),
            Phase::Stopped => job.interrupt("stopped without a checkpoint", moment),
            Phase::Lapsed if has_restarted(job, report) => {
                job.lose("its worker restarted", &settings, moment);
            }
            Phase::Lapsed => job.interrupt("its lease passed while it ran", moment),
            Phase::Accepted | Phase::Running => {}
        }
    });
}

/// Whether the worker restarted since the attempt was granted, and forgot how it ended.
fn has_restarted(job: &Job, report: &Report) -> bool {
    matches!(job.record.state, State::Started { boot, .. } if boot != report.boot)
}

/// Notes that a task is held, and acknowledges its checkpoint.
fn note_active(table: &mut Table, report: &Report, status: &Status) {
    let fenced = has_seen_owner(table, report, status.key.ledger);
    let Some(job) = table.jobs.get_mut(&status.key.job) else { return };
    job.heard = true;
    // A report from before this owner's time may name an older checkpoint than the record.
    let is_new = status.checkpoint.is_some() && job.record.checkpoint != status.checkpoint;
    if fenced && is_new {
        table.update(&status.key.job, |job| job.acknowledge(&status.checkpoint));
    }
}

/// Whether the agent takes no more grants of earlier owners of `ledger`.
fn has_seen_owner(table: &Table, report: &Report, ledger: u32) -> bool {
    let shard = table.shards.get(&ledger);
    shard.is_some_and(|shard| report.epoch(ledger) >= shard.epoch)
}

fn note_success(table: &mut Table, worker: &Name) {
    let Some(worker) = table.workers.get_mut(worker) else { return };
    worker.failures = 0;
    worker.aside_until = shallotflow_core::time::Time::ZERO;
}

/// Counts a failure and sets the worker aside, unless too many are aside already.
fn note_failure(table: &mut Table, name: &Name, moment: ClockReading) {
    let aside = table.workers.values().filter(|worker| !worker.aside_until.passed(moment.now));
    let limit = table.workers.len() * table.settings.aside_percent as usize / 100;
    let may_set_aside = aside.count() < limit;
    let Some(worker) = table.workers.get_mut(name) else { return };
    worker.failures = worker.failures.saturating_add(1);
    if worker.failures >= table.settings.aside_failures && may_set_aside {
        worker.aside_until = worker.aside_end(&table.settings, moment.now);
    }
}

/// Decides on tasks that the report should list but does not.
fn judge_missing(table: &mut Table, report: &Report, moment: ClockReading) {
    let listed: BTreeSet<&Key> = report.tasks.iter().map(|status| &status.key).collect();
    let settings = table.settings.clone();
    for id in table.placed_on(&report.worker) {
        if table.current_key(&id).is_none_or(|key| listed.contains(&key)) {
            continue;
        }
        match absence(table, &id, report) {
            Absence::Unproved => {}
            Absence::NeverStarted => {
                table.update(&id, |job| job.unstart(moment));
            }
            Absence::Lost => {
                let reason = format!("worker {} holds it no more", report.worker);
                table.update(&id, |job| job.lose(&reason, &settings, moment));
            }
        }
    }
}

/// What it means that a report does not list a task.
enum Absence {
    /// The grant may still reach the agent.
    Unproved,
    /// The agent dropped the grant and will never start it.
    NeverStarted,
    /// The agent may have started it, but its worker holds it no more.
    Lost,
}

fn absence(table: &Table, id: &Name, report: &Report) -> Absence {
    let Some(job) = table.jobs.get(id) else { return Absence::Unproved };
    let Some(granted) = job.granted else {
        let ledger = id::ledger(id).unwrap_or_default();
        return if has_seen_owner(table, report, ledger) {
            Absence::Lost
        } else {
            Absence::Unproved
        };
    };
    if (granted.incarnation, granted.sequence) >= (report.incarnation, report.sequence) {
        return Absence::Unproved;
    }
    let same_agent = granted.incarnation == report.incarnation;
    if same_agent && !job.heard && !has_restarted(job, report) {
        return Absence::NeverStarted;
    }
    Absence::Lost
}

fn is_started_on(state: &State, name: &Name) -> bool {
    matches!(state, State::Started { worker, .. } if worker == name)
}

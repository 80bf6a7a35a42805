//! Applies reports of agents to jobs and workers.

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
    /// Applies a report and makes the decisions for its worker.
    ///
    /// [`Table::reply`] returns the decisions once their changes are committed. A report that is
    /// not newer than the last accepted one changes nothing and renews no leases.
    pub fn apply_report(&mut self, report: &Report, clock: ClockReading) -> Pending {
        if !self.update_worker(report, clock) {
            return Pending::default();
        }
        let mut pending =
            Pending { worker: report.worker.clone(), accepted: true, ..Pending::default() };
        for status in &report.tasks {
            process_task(self, report, status, &mut pending, clock);
        }
        process_unlisted(self, report, clock);
        grant::run(self, report, &mut pending, clock);
        pending
    }

    /// Builds the reply from the decisions whose changes are committed, and omits the others.
    pub fn reply(&self, pending: &Pending) -> Reply {
        if !pending.accepted {
            return Reply::default();
        }
        let early = injected::is_on(Fault::AckBeforeCommit);
        let committed = |item: &&Item| early || self.is_committed(item.change);
        let settled = pending.settled.iter().filter(committed);
        let stops = pending.stops.iter();
        Reply {
            grants: pending.grants.iter().filter_map(|item| self.release(pending, item)).collect(),
            stops: stops.filter_map(|key| Some((key.clone(), self.epoch(key)?))).collect(),
            settled: settled.map(|item| item.key.clone()).collect(),
            owned: self.owned().collect(),
        }
    }

    /// Whether a change is in the store; `false` if the ledger is no longer owned under its epoch.
    pub fn is_committed(&self, change: Change) -> bool {
        let shard = self.shards.get(&change.ledger).filter(|shard| shard.epoch == change.epoch);
        shard.is_some_and(|shard| shard.committed >= change.number)
    }

    /// Whether this owner can still commit a change.
    pub fn may_commit(&self, change: Change) -> bool {
        self.shards.get(&change.ledger).is_some_and(|shard| shard.epoch == change.epoch)
    }

    fn epoch(&self, key: &Key) -> Option<u64> {
        self.shards.get(&key.ledger).map(|shard| shard.epoch)
    }

    /// Returns the grant of `item`, unless it is uncommitted or no longer the current attempt.
    fn release(&self, pending: &Pending, item: &Item) -> Option<Grant> {
        if !self.is_committed(item.change) && !injected::is_on(Fault::GrantBeforeCommit) {
            return None;
        }
        let record = &self.jobs.get(&item.key.job)?.record;
        let starts = is_started_on(&record.state, &pending.worker)
            && record.attempts == item.key.attempt
            && !record.cancelled;
        let epoch = self.epoch(&item.key)?;
        starts.then(|| Grant::new(item.key.clone(), epoch, record))
    }

    /// Updates the worker; returns whether the report is newer than every report accepted before.
    fn update_worker(&mut self, report: &Report, clock: ClockReading) -> bool {
        let worker =
            self.workers.entry(report.worker.clone()).or_insert_with(|| Worker::new(report));
        if !worker.is_outdated_by(report) {
            return false;
        }
        self.free_slots -= u64::from(worker.room.slots);
        worker.refresh(report, &self.settings, clock.now);
        self.free_slots += u64::from(worker.room.slots);
        let shape = Shape::of(worker);
        if !self.shapes.contains(&shape) {
            self.rebuild_shapes();
        }
        true
    }
}

/// Processes one task that the report lists.
fn process_task(
    table: &mut Table,
    report: &Report,
    status: &Status,
    pending: &mut Pending,
    clock: ClockReading,
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
        advance(table, report, status, clock);
    }
    if status.phase.is_final() {
        let change = table.last_change(&key.job);
        pending.settled.push(Item { key: key.clone(), change });
        return;
    }
    let cancelled = table.jobs.get(&key.job).is_some_and(|job| job.record.cancelled);
    if !current || cancelled {
        pending.stops.push(key.clone());
    }
}

/// Applies the phase of a task to its job.
fn advance(table: &mut Table, report: &Report, status: &Status, clock: ClockReading) {
    let settings = table.settings.clone();
    let reason = &status.reason;
    let id = &status.key.job;
    match status.phase {
        Phase::Accepted | Phase::Running => return record_active(table, report, status),
        Phase::Done => record_success(table, &report.worker),
        Phase::Failed => record_failure(table, &report.worker, clock),
        _ => {}
    }
    table.update(id, |job| {
        job.acknowledge(&status.checkpoint);
        match status.phase {
            Phase::Done => job.finish(clock),
            Phase::Failed => job.fail(reason, &settings, clock),
            Phase::Refused => job.revert_start(clock),
            Phase::Evicted => job.interrupt("evicted without a checkpoint", clock),
            Phase::Stopped => job.interrupt("stopped without a checkpoint", clock),
            Phase::Lapsed if has_restarted(job, report) => {
                job.lose("its worker restarted", &settings, clock);
            }
            Phase::Lapsed => job.interrupt("its lease passed while it ran", clock),
            Phase::Accepted | Phase::Running => {}
        }
    });
}

/// Whether the worker has restarted since the attempt was granted, so that it does not know how
/// the attempt ended.
fn has_restarted(job: &Job, report: &Report) -> bool {
    matches!(job.record.state, State::Started { boot, .. } if boot != report.boot)
}

/// Records that the agent has the task, and acknowledges a new checkpoint.
fn record_active(table: &mut Table, report: &Report, status: &Status) {
    let sees_owner = has_seen_owner(table, report, status.key.ledger);
    let Some(job) = table.jobs.get_mut(&status.key.job) else { return };
    job.listed = true;
    // A report sent before the agent saw this owner may name an older checkpoint than the record.
    let is_new = status.checkpoint.is_some() && job.record.checkpoint != status.checkpoint;
    if sees_owner && is_new {
        table.update(&status.key.job, |job| job.acknowledge(&status.checkpoint));
    }
}

/// Whether the agent has seen this owner's epoch of `ledger` and rejects grants of earlier owners.
fn has_seen_owner(table: &Table, report: &Report, ledger: u32) -> bool {
    let shard = table.shards.get(&ledger);
    shard.is_some_and(|shard| report.epoch(ledger) >= shard.epoch)
}

fn record_success(table: &mut Table, worker: &Name) {
    let Some(worker) = table.workers.get_mut(worker) else { return };
    worker.failures = 0;
    worker.ejected_until = shallotflow_core::time::Time::ZERO;
}

/// Counts a failure and ejects the worker after too many, unless too many workers are ejected
/// already.
fn record_failure(table: &mut Table, name: &Name, clock: ClockReading) {
    let ejected = table.workers.values().filter(|worker| !worker.ejected_until.passed(clock.now));
    let limit = table.workers.len() * table.settings.max_ejected_percent as usize / 100;
    let may_eject = ejected.count() < limit;
    let Some(worker) = table.workers.get_mut(name) else { return };
    worker.failures = worker.failures.saturating_add(1);
    if worker.failures >= table.settings.ejection_failures && may_eject {
        worker.ejected_until = worker.ejection_end(&table.settings, clock.now);
    }
}

/// Processes the started tasks that the report does not list.
fn process_unlisted(table: &mut Table, report: &Report, clock: ClockReading) {
    let listed: BTreeSet<&Key> = report.tasks.iter().map(|status| &status.key).collect();
    let settings = table.settings.clone();
    for id in table.placed_on(&report.worker) {
        if table.current_key(&id).is_none_or(|key| listed.contains(&key)) {
            continue;
        }
        match absence(table, &id, report) {
            Absence::Inconclusive => {}
            Absence::NeverStarted => {
                table.update(&id, |job| job.revert_start(clock));
            }
            Absence::Lost => {
                let reason = format!("worker {} holds it no more", report.worker);
                table.update(&id, |job| job.lose(&reason, &settings, clock));
            }
        }
    }
}

/// What follows from a report that does not list a started task.
enum Absence {
    /// The grant may still be in flight to the agent.
    Inconclusive,
    /// The agent has dropped the grant and will never start the task.
    NeverStarted,
    /// The agent may have started it, but its worker no longer has it.
    Lost,
}

fn absence(table: &Table, id: &Name, report: &Report) -> Absence {
    let Some(job) = table.jobs.get(id) else { return Absence::Inconclusive };
    let Some(granted) = job.granted_on else {
        let ledger = id::ledger(id).unwrap_or_default();
        return if has_seen_owner(table, report, ledger) {
            Absence::Lost
        } else {
            Absence::Inconclusive
        };
    };
    if (granted.incarnation, granted.sequence) >= (report.incarnation, report.sequence) {
        return Absence::Inconclusive;
    }
    let same_agent = granted.incarnation == report.incarnation;
    if same_agent && !job.listed && !has_restarted(job, report) {
        return Absence::NeverStarted;
    }
    Absence::Lost
}

fn is_started_on(state: &State, name: &Name) -> bool {
    matches!(state, State::Started { worker, .. } if worker == name)
}

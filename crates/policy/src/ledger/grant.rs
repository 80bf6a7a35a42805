//! Grants waiting jobs to the worker that reported.

use super::job::ReportId;
use super::pending::Item;
use super::{ClockReading, Key, Pending, Report, Table, id};
use shallotflow_core::job::{Record, State};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// A permission to start one attempt of a job, fenced by the epoch of its ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The attempt to start.
    pub key: Key,
    /// The epoch of the ledger's owner.
    pub epoch: u64,
    /// The job, including the checkpoint to resume from.
    pub record: Record,
}

impl Grant {
    pub(super) fn new(key: Key, epoch: u64, record: &Record) -> Self {
        Self { key, epoch, record: record.clone() }
    }
}

/// Starts jobs on the worker that reported, within its free capacity.
pub(super) fn run(table: &mut Table, report: &Report, pending: &mut Pending, clock: ClockReading) {
    for _ in 0..allowance(table, &report.worker, clock) {
        let Some(id) = select(table, &report.worker, clock) else { return };
        let item = start(table, report, &id);
        pending.grants.push(item);
    }
}

/// Returns how many jobs the worker may get now: its share of the backlog by free slots, so that
/// one report does not take the jobs that other workers have room for.
fn allowance(table: &Table, name: &Name, clock: ClockReading) -> usize {
    let Some(worker) = table.workers.get(name) else { return 0 };
    let is_ejected = !worker.ejected_until.passed(clock.now);
    if worker.leaving || is_ejected || worker.room.slots == 0 {
        return 0;
    }
    if worker.failures >= table.settings.ejection_failures {
        return 1;
    }
    let slots = u64::from(worker.room.slots);
    let share = (table.backlog.len() as u64 * slots).div_ceil(table.free_slots.max(1));
    share.min(slots) as usize
}

fn select(table: &Table, name: &Name, clock: ClockReading) -> Option<Name> {
    let worker = table.workers.get(name)?;
    let alone = table.workers.len() == 1;
    let usage = |caller: &Name| table.running.get(caller).copied().unwrap_or(0);
    let fits = |id: &Name| {
        let Some(job) = table.jobs.get(id) else { return false };
        let avoided = !alone && job.avoid.as_ref() == Some(name);
        let spec = &job.record.spec;
        !avoided
            && job.not_before.passed(clock.now)
            && worker.serves(&spec.kind)
            && worker.room.holds(&need(&spec.resources))
    };
    table.backlog.select(usage, fits)
}

/// Records the start of a job; the grant is sent once the start is committed.
fn start(table: &mut Table, report: &Report, id: &Name) -> Item {
    let mut attempt = 0;
    let mut taken = Bundle::default();
    let change = table.update(id, |job| {
        job.record.attempts += 1;
        job.record.state = State::Started { worker: report.worker.clone(), boot: report.boot };
        job.granted_on =
            Some(ReportId { incarnation: report.incarnation, sequence: report.sequence });
        job.listed = false;
        job.checkpoint_used = job.record.checkpoint.is_some();
        attempt = job.record.attempts;
        taken = need(&job.record.spec.resources);
    });
    if let Some(worker) = table.workers.get_mut(&report.worker) {
        table.free_slots -= u64::from(worker.room.slots.min(taken.slots));
        worker.room = worker.room.minus(&taken);
    }
    let ledger = id::ledger(id).unwrap_or_default();
    Item { key: Key { ledger, job: id.clone(), attempt }, change }
}

/// Returns the resources that a task takes: at least one slot.
fn need(declared: &Bundle) -> Bundle {
    Bundle { slots: declared.slots.max(1), ..*declared }
}

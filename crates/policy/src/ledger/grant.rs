//! Starts: which waiting jobs the worker that reported gets.

use super::job::Granted;
use super::pending::Item;
use super::{ClockReading, Key, Pending, Report, Table, id};
use shallotflow_core::job::{Record, State};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// Permission to start one attempt, fenced by the epoch of its ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Which attempt of which job.
    pub key: Key,
    /// The epoch of the ledger's owner.
    pub epoch: u64,
    /// The job, with the checkpoint from which it resumes.
    pub record: Record,
}

impl Grant {
    pub(super) fn new(key: Key, epoch: u64, record: &Record) -> Self {
        Self { key, epoch, record: record.clone() }
    }
}

/// Starts jobs on the worker that reported, within the room that it has.
pub(super) fn run(table: &mut Table, report: &Report, pending: &mut Pending, moment: ClockReading) {
    for _ in 0..allowance(table, &report.worker, moment) {
        let Some(id) = select(table, &report.worker, moment) else { return };
        let item = start(table, report, &id);
        pending.grants.push(item);
    }
}

/// How many jobs the worker may get now: its share of the room, so that others get theirs.
fn allowance(table: &Table, name: &Name, moment: ClockReading) -> usize {
    let Some(worker) = table.workers.get(name) else { return 0 };
    let set_aside = !worker.aside_until.passed(moment.now);
    if worker.leaving || set_aside || worker.room.slots == 0 {
        return 0;
    }
    if worker.failures >= table.settings.aside_failures {
        return 1;
    }
    let slots = u64::from(worker.room.slots);
    let share = (table.backlog.len() as u64 * slots).div_ceil(table.free_slots.max(1));
    share.min(slots) as usize
}

fn select(table: &Table, name: &Name, moment: ClockReading) -> Option<Name> {
    let worker = table.workers.get(name)?;
    let alone = table.workers.len() == 1;
    let usage = |caller: &Name| table.running.get(caller).copied().unwrap_or(0);
    let fits = |id: &Name| {
        let Some(job) = table.jobs.get(id) else { return false };
        let avoided = !alone && job.avoid.as_ref() == Some(name);
        let spec = &job.record.spec;
        !avoided
            && job.not_before.passed(moment.now)
            && worker.serves(&spec.kind)
            && worker.room.holds(&need(&spec.resources))
    };
    table.backlog.select(usage, fits)
}

/// Records the start; the grant leaves once that is committed.
fn start(table: &mut Table, report: &Report, id: &Name) -> Item {
    let mut attempt = 0;
    let mut taken = Bundle::default();
    let mark = table.update(id, |job| {
        job.record.attempts += 1;
        job.record.state = State::Started { worker: report.worker.clone(), boot: report.boot };
        job.granted = Some(Granted { incarnation: report.incarnation, sequence: report.sequence });
        job.heard = false;
        job.spent = job.record.checkpoint.is_some();
        attempt = job.record.attempts;
        taken = need(&job.record.spec.resources);
    });
    if let Some(worker) = table.workers.get_mut(&report.worker) {
        table.free_slots -= u64::from(worker.room.slots.min(taken.slots));
        worker.room = worker.room.minus(&taken);
    }
    let ledger = id::ledger(id).unwrap_or_default();
    Item { key: Key { ledger, job: id.clone(), attempt }, mark }
}

/// What a task takes: at least one slot.
fn need(declared: &Bundle) -> Bundle {
    Bundle { slots: declared.slots.max(1), ..*declared }
}

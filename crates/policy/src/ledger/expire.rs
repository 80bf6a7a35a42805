//! Tasks whose lease passed without a word from their worker, and workers long silent.

use super::{ClockReading, Table, id};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// How often in the length of a task lease lost tasks are looked for.
const LOOKS_PER_LEASE: u32 = 20;

/// Gives up the tasks of workers whose leases have surely passed.
pub(super) fn run(table: &mut Table, moment: ClockReading) {
    if !table.expires_at.passed(moment.now) {
        return;
    }
    table.expires_at = moment.now.after(table.settings.task_lease / LOOKS_PER_LEASE);
    forget_workers(table, moment);
    let silent = |name: &&Name| lease_end(table, name).passed(moment.now);
    let silent: Vec<Name> = table.placed.keys().filter(silent).cloned().collect();
    let settings = table.settings.clone();
    for name in silent {
        let reason = format!("worker {name} was lost");
        for id in table.placed_on(&name) {
            if inherited_end(table, &id).passed(moment.now) {
                table.update(&id, |job| job.lose(&reason, &settings, moment));
            }
        }
    }
}

fn lease_end(table: &Table, worker: &Name) -> Time {
    table.workers.get(worker).map_or(Time::ZERO, |worker| worker.lease_end)
}

/// Until when an earlier owner's renewal may keep the task running.
fn inherited_end(table: &Table, id: &Name) -> Time {
    let granted_here = table.jobs.get(id).is_some_and(|job| job.granted.is_some());
    let shard = id::ledger(id).and_then(|ledger| table.shards.get(&ledger));
    if granted_here { Time::ZERO } else { shard.map_or(Time::NEVER, |shard| shard.inherited_end) }
}

fn forget_workers(table: &mut Table, moment: ClockReading) {
    let before = table.workers.len();
    table.workers.retain(|_, worker| !worker.forgotten_at.passed(moment.now));
    if table.workers.len() < before {
        table.free_slots = table.workers.values().map(|worker| u64::from(worker.room.slots)).sum();
        table.recount_shapes();
    }
}

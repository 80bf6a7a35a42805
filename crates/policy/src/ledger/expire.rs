//! Expiry of tasks whose worker stopped reporting, and removal of silent workers.

use super::{ClockReading, Table, id};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// Number of checks for lost tasks per task lease.
const CHECKS_PER_LEASE: u32 = 20;

/// Marks tasks as lost once their leases have certainly expired on the worker.
pub(super) fn run(table: &mut Table, clock: ClockReading) {
    if !table.next_expiry_check.passed(clock.now) {
        return;
    }
    table.next_expiry_check = clock.now.after(table.settings.task_lease / CHECKS_PER_LEASE);
    remove_silent_workers(table, clock);
    let silent = |name: &&Name| lease_end(table, name).passed(clock.now);
    let silent: Vec<Name> = table.placed.keys().filter(silent).cloned().collect();
    let settings = table.settings.clone();
    for name in silent {
        let reason = format!("worker {name} was lost");
        for id in table.placed_on(&name) {
            if inherited_end(table, &id).passed(clock.now) {
                table.update(&id, |job| job.lose(&reason, &settings, clock));
            }
        }
    }
}

fn lease_end(table: &Table, worker: &Name) -> Time {
    table.workers.get(worker).map_or(Time::ZERO, |worker| worker.lease_end)
}

/// Returns until when a grant or renewal of an earlier owner may keep the task running.
fn inherited_end(table: &Table, id: &Name) -> Time {
    let granted_here = table.jobs.get(id).is_some_and(|job| job.granted_on.is_some());
    let shard = id::ledger(id).and_then(|ledger| table.shards.get(&ledger));
    if granted_here { Time::ZERO } else { shard.map_or(Time::NEVER, |shard| shard.inherited_end) }
}

fn remove_silent_workers(table: &mut Table, clock: ClockReading) {
    let before = table.workers.len();
    table.workers.retain(|_, worker| !worker.expires_at.passed(clock.now));
    if table.workers.len() < before {
        table.free_slots = table.workers.values().map(|worker| u64::from(worker.room.slots)).sum();
        table.rebuild_shapes();
    }
}

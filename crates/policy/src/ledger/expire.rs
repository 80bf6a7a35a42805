//! Tasks whose lease passed without a word from their worker, and workers long silent.

use super::{Moment, Table, id};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// Gives up the tasks of workers whose leases have surely passed.
pub(super) fn run(table: &mut Table, moment: Moment) {
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

fn forget_workers(table: &mut Table, moment: Moment) {
    let before = table.workers.len();
    table.workers.retain(|_, worker| !worker.forgotten_at.passed(moment.now));
    if table.workers.len() < before {
        table.recount_shapes();
    }
}

//! Finished jobs are kept for a while, within a bound.

use super::{ClockReading, Table};

/// Marks finished jobs that are past their retention; they end with their segments.
pub(super) fn run(table: &mut Table, moment: ClockReading) {
    let age_ms = u64::try_from(table.settings.finished_age.as_millis()).unwrap_or(u64::MAX);
    let oldest = moment.unix_ms.saturating_sub(age_ms);
    for shard in table.shards.values_mut() {
        while let Some((finished, id)) = shard.finished.first().cloned() {
            if shard.finished.len() <= table.settings.finished_max && finished >= oldest {
                break;
            }
            shard.finished.pop_first();
            let Some(job) = table.jobs.get_mut(&id) else { continue };
            shard.live_bytes -= job.live_bytes();
            job.expired = true;
        }
    }
}

//! Retention of finished jobs, limited by age and number.

use super::{ClockReading, Table};

/// Marks finished jobs that are past their retention as expired; compaction of their segments
/// drops them.
pub(super) fn run(table: &mut Table, clock: ClockReading) {
    let age_ms = u64::try_from(table.settings.finished_age.as_millis()).unwrap_or(u64::MAX);
    let oldest = clock.unix_ms.saturating_sub(age_ms);
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

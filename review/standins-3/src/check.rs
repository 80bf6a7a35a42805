//! What the records of the workers show.
use crate::fleet::Record;
use std::collections::BTreeMap;

/// Pairs of runs of one task that were at work at the same time, at workers that were up.
pub fn overlaps(records: &[Record], now_ms: u64) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        by_task.entry(&record.task).or_default().push(record);
    }
    let mut found = Vec::new();
    for (task, runs) in by_task {
        for (place, first) in runs.iter().enumerate() {
            for second in &runs[place + 1..] {
                let from = first.start_ms.max(second.start_ms);
                let to = first.end_ms.unwrap_or(now_ms).min(second.end_ms.unwrap_or(now_ms));
                if from < to {
                    found.push(format!(
                        "{task}: run {} at worker {} and run {} at worker {} at the same time for {} ms",
                        first.run, first.worker, second.run, second.worker, to - from
                    ));
                }
            }
        }
    }
    found
}


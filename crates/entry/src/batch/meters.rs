//! Metrics of batch work.

use shallotflow_core::metric;
use shallotflow_policy::ledger::{Table, Tally};

/// Counts what a commit brought into the store.
pub(super) fn committed(tally: &Tally) {
    metrics::counter!(metric::BATCH_STARTED).increment(tally.started);
    for state in &tally.ended {
        metrics::counter!(metric::BATCH_ENDED, "state" => *state).increment(1);
    }
}

/// Shows what is owned here and what waits.
pub(super) fn levels(table: &Table) {
    metrics::gauge!(metric::BATCH_BACKLOG).set(table.waiting() as f64);
    metrics::gauge!(metric::OWNED_LEDGERS).set(table.owned().count() as f64);
}

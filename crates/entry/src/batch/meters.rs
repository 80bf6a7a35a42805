//! Metrics of the ledgers that this entry owns.

use metrics::{Counter, Gauge, counter, gauge};
use shallotflow_core::metric;
use shallotflow_policy::ledger::Table;

/// Metric handles, kept so that a tick needs no lookup by name.
pub(super) struct Meters {
    started: Counter,
    done: Counter,
    failed: Counter,
    cancelled: Counter,
    unknown: Counter,
    backlog: Gauge,
    owned: Gauge,
}

impl Meters {
    pub(super) fn new() -> Self {
        let ended = |state| counter!(metric::BATCH_ENDED, "state" => state);
        Self {
            started: counter!(metric::BATCH_STARTED),
            done: ended("done"),
            failed: ended("failed"),
            cancelled: ended("cancelled"),
            unknown: ended("unknown"),
            backlog: gauge!(metric::BATCH_BACKLOG),
            owned: gauge!(metric::OWNED_LEDGERS),
        }
    }

    /// Adds the changes committed since the last call to the counters, and sets the gauges.
    pub(super) fn publish(&self, table: &mut Table) {
        let totals = table.take_totals();
        self.started.increment(totals.started);
        self.done.increment(totals.done);
        self.failed.increment(totals.failed);
        self.cancelled.increment(totals.cancelled);
        self.unknown.increment(totals.unknown);
        self.backlog.set(table.waiting() as f64);
        self.owned.set(table.owned().count() as f64);
    }
}

//! Results and ejections of all targets.

use super::Settings;
use super::record::{Phase, Record};
use crate::route;
use shallotflow_core::time::Time;
use std::time::Duration;

/// The number of ejections restarts at zero after this many times the longest ejection.
const RESET_FACTOR: u32 = 4;
const MAX_DOUBLINGS: u32 = 16;

/// Reason for an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Several requests in a row failed.
    Consecutive,
    /// The failure rate is too high.
    FailureRate,
    /// The target is far slower than expected.
    Slow,
}

impl Cause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Consecutive => "consecutive-failures",
            Self::FailureRate => "failure-rate",
            Self::Slow => "slow",
        }
    }
}

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whether the target failed; a refusal does not count as a failure.
    pub failed: bool,
    /// Latency of the request.
    pub latency: Duration,
    /// Expected latency of the request at this target.
    pub expected: Duration,
}

/// Change of a target's ejection state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target is ejected until the given time.
    Ejected(route::Id, Cause, Time),
    /// The target gets one request at a time from now on.
    OnProbation(route::Id),
    /// The target has passed probation.
    Restored(route::Id),
}

/// Results of the targets in a [`route::Table`].
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    records: Vec<Record>,
    /// Targets whose phase is not [`Phase::Active`].
    unsettled: Vec<route::Id>,
    restored: Vec<route::Id>,
}

impl Table {
    /// Creates a table without results.
    pub fn new(settings: Settings) -> Self {
        Self { settings, records: Vec::new(), unsettled: Vec::new(), restored: Vec::new() }
    }

    /// Adds the result of a request; returns `true` if [`Table::tick`] has something to do.
    pub fn record(&mut self, id: route::Id, sample: &Sample) -> bool {
        let settings = &self.settings;
        let record = record_mut(&mut self.records, id);
        record.add(sample);
        match record.phase {
            Phase::Active => {
                let Some(cause) = record.ejection_cause(settings) else { return false };
                record.phase = Phase::Suspect(cause);
                self.unsettled.push(id);
                true
            }
            Phase::Probing(_) if sample.failed => {
                record.phase = Phase::Suspect(Cause::Consecutive);
                true
            }
            Phase::Probing(successes) if successes + 1 >= settings.probation_successes => {
                record.phase = Phase::Active;
                record.clear();
                self.unsettled.retain(|unsettled| *unsettled != id);
                self.restored.push(id);
                true
            }
            Phase::Probing(successes) => {
                record.phase = Phase::Probing(successes + 1);
                false
            }
            Phase::Suspect(_) | Phase::Ejected(_) => false,
        }
    }

    /// Ejects and restores targets in `routes`, and returns the changes.
    pub fn tick(&mut self, now: Time, routes: &mut route::Table) -> Vec<Change> {
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.restored) {
            routes.set_probing(id, false);
            changes.push(Change::Restored(id));
        }
        for id in std::mem::take(&mut self.unsettled) {
            // A removed target is no longer tracked.
            if routes.target(id).is_none() {
                continue;
            }
            changes.extend(self.advance(now, id, routes));
            if record_mut(&mut self.records, id).phase != Phase::Active {
                self.unsettled.push(id);
            }
        }
        changes
    }

    fn advance(&mut self, now: Time, id: route::Id, routes: &mut route::Table) -> Option<Change> {
        let settings = &self.settings;
        let record = record_mut(&mut self.records, id);
        match record.phase {
            Phase::Active | Phase::Probing(_) => None,
            Phase::Ejected(until) if !until.passed(now) => None,
            Phase::Ejected(_) => {
                record.phase = Phase::Probing(0);
                record.clear();
                routes.set_probing(id, true);
                routes.set_ejected(id, false);
                Some(Change::OnProbation(id))
            }
            Phase::Suspect(cause) => {
                if record.ejection_cause(settings).is_none() && !routes.is_probing(id) {
                    record.phase = Phase::Active;
                    return None;
                }
                if !routes.may_eject(id, settings.share_milli) {
                    return None;
                }
                let until = now.after(ejection_time(record, now, settings));
                record.phase = Phase::Ejected(until);
                routes.set_ejected(id, true);
                Some(Change::Ejected(id, cause, until))
            }
        }
    }
}

/// Returns the record of a target, cleared if the index belonged to another target before.
fn record_mut(records: &mut Vec<Record>, id: route::Id) -> &mut Record {
    let index = id.index();
    if records.len() <= index {
        records.resize(index + 1, Record::default());
    }
    let record = &mut records[index];
    if record.generation != id.generation() {
        *record = Record { generation: id.generation(), ..Record::default() };
    }
    record
}

/// Duration of an ejection that starts `now`; counts the ejection.
fn ejection_time(record: &mut Record, now: Time, settings: &Settings) -> Duration {
    if now.since(record.last_ejected) > settings.max_ejection * RESET_FACTOR {
        record.ejections = 0;
    }
    let doublings = record.ejections.min(MAX_DOUBLINGS);
    record.ejections = record.ejections.saturating_add(1);
    record.last_ejected = now;
    settings.base_ejection.saturating_mul(1 << doublings).min(settings.max_ejection)
}

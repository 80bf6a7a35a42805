//! The results of all targets.

use super::Settings;
use super::record::{Phase, Record};
use crate::route;
use shallotflow_core::time::Time;
use std::time::Duration;

/// After so many times the longest time, an earlier repetition is forgotten.
const FORGET_FACTOR: u32 = 4;
const MAX_DOUBLINGS: u32 = 16;

/// Why a target is set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It failed several requests in a row.
    Consecutive,
    /// It fails too large a share of its requests.
    FailureRate,
    /// It is far slower than others.
    Slow,
}

impl Cause {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Consecutive => "consecutive-failures",
            Self::FailureRate => "failure-rate",
            Self::Slow => "slow",
        }
    }
}

/// The result of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whether the target failed it; a refusal is no failure.
    pub failed: bool,
    /// How long it took.
    pub latency: Duration,
    /// How long requests of its kind take.
    pub expected: Duration,
}

/// What the system changed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was set aside until the given time.
    Ejected(route::Id, Cause, Time),
    /// It gets one request at a time from now on.
    OnProbation(route::Id),
    /// It has proved itself.
    Restored(route::Id),
}

/// The results of the targets in a [`route::Table`].
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    records: Vec<Record>,
    /// Indices of the records that are not [`Phase::In`].
    watched: Vec<route::Id>,
    restored: Vec<route::Id>,
}

impl Table {
    /// A table without results.
    pub fn new(settings: Settings) -> Self {
        Self { settings, records: Vec::new(), watched: Vec::new(), restored: Vec::new() }
    }

    /// Takes the result of a request; `true` when [`Table::tick`] has something to do.
    pub fn record(&mut self, id: route::Id, sample: &Sample) -> bool {
        let settings = &self.settings;
        let record = entry(&mut self.records, id);
        record.take(sample);
        match record.phase {
            Phase::In => {
                let Some(cause) = record.cause(settings) else { return false };
                record.phase = Phase::Suspect(cause);
                self.watched.push(id);
                true
            }
            Phase::Probing(_) if sample.failed => {
                record.phase = Phase::Suspect(Cause::Consecutive);
                true
            }
            Phase::Probing(proved) if proved + 1 >= settings.proof => {
                record.phase = Phase::In;
                record.clear();
                self.watched.retain(|watched| *watched != id);
                self.restored.push(id);
                true
            }
            Phase::Probing(proved) => {
                record.phase = Phase::Probing(proved + 1);
                false
            }
            Phase::Suspect(_) | Phase::Out(_) => false,
        }
    }

    /// Sets targets aside and takes them back, and says what it changed.
    pub fn tick(&mut self, now: Time, routes: &mut route::Table) -> Vec<Change> {
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.restored) {
            routes.set_probing(id, false);
            changes.push(Change::Restored(id));
        }
        for id in std::mem::take(&mut self.watched) {
            // A target that is gone takes its record along.
            if routes.target(id).is_none() {
                continue;
            }
            changes.extend(self.advance(now, id, routes));
            if entry(&mut self.records, id).phase != Phase::In {
                self.watched.push(id);
            }
        }
        changes
    }

    fn advance(&mut self, now: Time, id: route::Id, routes: &mut route::Table) -> Option<Change> {
        let settings = &self.settings;
        let record = entry(&mut self.records, id);
        match record.phase {
            Phase::In | Phase::Probing(_) => None,
            Phase::Out(until) if !until.passed(now) => None,
            Phase::Out(_) => {
                record.phase = Phase::Probing(0);
                record.clear();
                routes.set_probing(id, true);
                routes.set_ejected(id, false);
                Some(Change::OnProbation(id))
            }
            Phase::Suspect(cause) => {
                if record.cause(settings).is_none() && !routes.is_probing(id) {
                    record.phase = Phase::In;
                    return None;
                }
                if !routes.may_eject(id, settings.share_milli) {
                    return None;
                }
                let until = now.after(time_out(record, now, settings));
                record.phase = Phase::Out(until);
                routes.set_ejected(id, true);
                Some(Change::Ejected(id, cause, until))
            }
        }
    }
}

/// The record of a target, emptied if the place was used by another target before.
fn entry(records: &mut Vec<Record>, id: route::Id) -> &mut Record {
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

/// How long a target is set aside now.
fn time_out(record: &mut Record, now: Time, settings: &Settings) -> Duration {
    if now.since(record.ejected) > settings.longest * FORGET_FACTOR {
        record.repetitions = 0;
    }
    let doublings = record.repetitions.min(MAX_DOUBLINGS);
    record.repetitions = record.repetitions.saturating_add(1);
    record.ejected = now;
    settings.first.saturating_mul(1 << doublings).min(settings.longest)
}

//! The tables of colocation.

use crate::state::State;
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use shallotflow_policy::admission::Id;
use shallotflow_policy::evict::{Candidate, Pressure};
use shallotflow_policy::lease::Task;
use shallotflow_policy::{disturbance, estimate, evict, reserve};
use std::time::Duration;

/// Full speed, in thousandths.
const FULL_SHARE: u32 = 1_000;
/// How long a kind of quick work counts as present after its last request.
const PRESENCE: Duration = Duration::from_secs(1);
/// Weight of a new grant in the mean of grants: one over this number.
const GRANTS: u32 = 8;
/// Most kinds of quick work that are looked at.
const MAX_KINDS: usize = 64;

/// What the agent knows of interference, sizes and demand.
pub(crate) struct Room {
    pub(crate) peak: reserve::Peak,
    pub(crate) controller: evict::Controller,
    pub(crate) disturbance: disturbance::Table,
    pub(crate) history: disturbance::History,
    pub(crate) estimates: estimate::Table,
    /// Processor shares set at the worker, where they are not full.
    pub(crate) shares: HashMap<Key, u32>,
    /// Kinds of running requests.
    pub(crate) requests: HashMap<Id, Name>,
    /// What a granted task adds to quick work, on average; thousandths.
    typical_milli: u32,
    /// When each kind of quick work was last seen.
    present: HashMap<Name, Time>,
}

impl Room {
    pub(crate) fn new() -> Self {
        let learning = disturbance::Settings::default();
        Self {
            peak: reserve::Peak::new(reserve::Settings::default()),
            controller: evict::Controller::new(evict::Settings::default()),
            disturbance: disturbance::Table::new(learning.clone()),
            history: disturbance::History::new(learning),
            estimates: estimate::Table::new(estimate::Settings::default()),
            shares: HashMap::new(),
            requests: HashMap::new(),
            typical_milli: 0,
            present: HashMap::new(),
        }
    }

    /// A quick request of `kind` came.
    pub(crate) fn saw(&mut self, kind: &Name, now: Time) {
        if self.present.len() < MAX_KINDS || self.present.contains_key(kind) {
            self.present.insert(kind.clone(), now);
        }
    }

    /// The processor share set for `key`, thousandths.
    pub(crate) fn share_milli(&self, key: &Key) -> u32 {
        self.shares.get(key).copied().unwrap_or(FULL_SHARE)
    }

    /// Notes the processor share set for `key`, thousandths.
    pub(crate) fn set_share(&mut self, key: &Key, share_milli: u32) {
        if share_milli == FULL_SHARE {
            self.shares.remove(key);
        } else {
            self.shares.insert(key.clone(), share_milli);
        }
    }

    /// What a neighbor of `kind` adds to the quick work that is present, at most; a fraction.
    fn added(&self, kind: &str, now: Time) -> f64 {
        let victims = self.present.keys();
        let added = victims.map(|victim| self.disturbance.added(victim, kind, now));
        added.fold(0.0, f64::max)
    }
}

impl State {
    /// The slowdown of the quick work that is present by batch work, thousandths.
    pub(crate) fn slowdown_milli(&self, now: Time) -> u32 {
        let tasks = self.leases.tasks().filter(|(_, task)| task.may_run());
        let added: f64 = tasks
            .map(|(key, task)| {
                let share = f64::from(self.room.share_milli(key)) / f64::from(FULL_SHARE);
                self.room.added(&task.grant.kind, now) * share
            })
            .sum();
        milli(1.0 + added)
    }

    /// Notes what runs now and the demand of quick work.
    pub(super) fn record(&mut self, now: Time) {
        self.room.present.retain(|_, seen| !seen.after(PRESENCE).passed(now));
        let waiting = self.admission.queue(Class::Quick).need();
        let demand = self.admission.used_by(Class::Quick).plus(&waiting);
        self.room.peak.observe(&demand, now);
        let tasks = self.leases.tasks().filter(|(_, task)| task.may_run());
        let mut kinds: Vec<Name> = tasks.map(|(_, task)| task.grant.kind.clone()).collect();
        kinds.extend(self.room.requests.values().cloned());
        kinds.sort_unstable();
        self.room.history.record(&kinds, now);
    }

    pub(super) fn pressure(&self, now: Time) -> Pressure {
        let oldest = self.admission.queue(Class::Quick).oldest();
        Pressure {
            wait: oldest.map_or(Duration::ZERO, |oldest| now.since(oldest)),
            shortage: self.admission.quick_shortage(),
            excess: self.admission.excess(),
            slowdown_milli: self.slowdown_milli(now),
        }
    }

    pub(super) fn candidates(&self, now: Time) -> Vec<Candidate> {
        let tasks = self.leases.tasks().filter(|(_, task)| task.may_run());
        tasks
            .map(|(key, task)| Candidate {
                key: key.clone(),
                resources: self.reserved(key).unwrap_or(task.grant.resources),
                share_milli: self.room.share_milli(key),
                added_milli: milli(self.room.added(&task.grant.kind, now)),
                unsaved_ms: task.unsaved_ms,
                urgent: task.grant.priority >= shallotflow_core::job::Spec::URGENT_PRIORITY,
                stopping: task.stopping,
            })
            .collect()
    }

    /// Notes what kind of task was granted.
    pub(crate) fn granted(&mut self, kind: &Name, now: Time) {
        let added = milli(self.room.added(kind, now));
        let mean = (self.room.typical_milli * (GRANTS - 1) + added) / GRANTS;
        self.room.typical_milli = mean;
    }

    /// How many more batch tasks may start beside the quick work that is present.
    pub(crate) fn tolerated(&self, now: Time) -> u32 {
        if self.room.present.is_empty() {
            return u32::MAX;
        }
        let waiting = self.admission.queue(Class::Batch).len() as u32;
        let running = self.admission.running(Class::Batch);
        let typical = self.room.typical_milli;
        let slowdown = self.slowdown_milli(now).saturating_add(waiting * typical);
        self.room.controller.admits(slowdown, typical, running + waiting as usize)
    }

    /// Whether a running task runs many times longer than its kind usually does.
    pub(crate) fn is_straggler(&self, task: &Task) -> bool {
        let elapsed = Duration::from_millis(task.run_ms);
        let expected = task.grant.expected_run;
        task.may_run() && self.room.estimates.is_straggler(&task.grant.kind, expected, elapsed)
    }

    /// What is set aside for a task that declares `declared`.
    pub(crate) fn need(&self, kind: &str, declared: &Bundle) -> Bundle {
        let learned = self.room.estimates.need(kind, declared);
        let capacity = self.admission.capacity();
        // A correction alone never makes a task too large for its worker.
        let excess = learned.minus(&capacity.max(declared));
        learned.minus(&excess)
    }
}

fn milli(fraction: f64) -> u32 {
    // The cast saturates.
    (fraction * 1_000.0).round() as u32
}

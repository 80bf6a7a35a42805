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

/// The share of a task that is not throttled, in thousandths.
const FULL_SHARE: u32 = 1_000;
/// How long a kind of quick requests counts as present after its last request.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// A new grant has the weight `1 / MEAN_GRANTS` in the mean over grants.
const MEAN_GRANTS: u32 = 8;
/// Limit on the number of kinds of quick requests that are tracked.
const MAX_KINDS: usize = 64;

/// Interference, sizes of tasks and demand of quick requests, as the agent has learned them.
pub(crate) struct Tables {
    pub(crate) peak: reserve::Peak,
    pub(crate) controller: evict::Controller,
    pub(crate) disturbance: disturbance::Table,
    pub(crate) history: disturbance::History,
    pub(crate) estimates: estimate::Table,
    /// CPU shares set at the worker, thousandths; only those of throttled tasks.
    pub(crate) shares: HashMap<Key, u32>,
    /// The kinds of running requests.
    pub(crate) request_kinds: HashMap<Id, Name>,
    /// The mean slowdown that a granted task adds to quick requests; thousandths.
    mean_added_milli: u32,
    /// The time of the last request of each kind of quick requests.
    present: HashMap<Name, Time>,
}

impl Tables {
    pub(crate) fn new() -> Self {
        let learning = disturbance::Settings::default();
        Self {
            peak: reserve::Peak::new(reserve::Settings::default()),
            controller: evict::Controller::new(evict::Settings::default()),
            disturbance: disturbance::Table::new(learning.clone()),
            history: disturbance::History::new(learning),
            estimates: estimate::Table::new(estimate::Settings::default()),
            shares: HashMap::new(),
            request_kinds: HashMap::new(),
            mean_added_milli: 0,
            present: HashMap::new(),
        }
    }

    /// Records the arrival of a quick request of `kind`.
    pub(crate) fn record_request(&mut self, kind: &Name, now: Time) {
        if self.present.len() < MAX_KINDS || self.present.contains_key(kind) {
            self.present.insert(kind.clone(), now);
        }
    }

    /// The CPU share set for `key`, thousandths.
    pub(crate) fn share_milli(&self, key: &Key) -> u32 {
        self.shares.get(key).copied().unwrap_or(FULL_SHARE)
    }

    /// Records the CPU share set for `key`, thousandths.
    pub(crate) fn set_share(&mut self, key: &Key, share_milli: u32) {
        if share_milli == FULL_SHARE {
            self.shares.remove(key);
        } else {
            self.shares.insert(key.clone(), share_milli);
        }
    }

    /// The largest slowdown that a task of `kind` adds to any kind of quick requests that is
    /// present; a fraction.
    fn added_slowdown(&self, kind: &str, now: Time) -> f64 {
        let victims = self.present.keys();
        let added = victims.map(|victim| self.disturbance.added(victim, kind, now));
        added.fold(0.0, f64::max)
    }
}

impl State {
    /// The slowdown of the present quick requests by running batch tasks, thousandths.
    pub(crate) fn slowdown_milli(&self, now: Time) -> u32 {
        let tasks = self.leases.tasks().filter(|(_, task)| task.may_run());
        let added: f64 = tasks
            .map(|(key, task)| {
                let share = f64::from(self.colocation.share_milli(key)) / f64::from(FULL_SHARE);
                self.colocation.added_slowdown(&task.grant.kind, now) * share
            })
            .sum();
        milli(1.0 + added)
    }

    /// Records the kinds of work that run and the demand of quick requests.
    pub(super) fn record_load(&mut self, now: Time) {
        self.colocation.present.retain(|_, last| !last.after(PRESENCE_TIMEOUT).passed(now));
        let waiting = self.admission.queue(Class::Quick).need();
        let demand = self.admission.used_by(Class::Quick).plus(&waiting);
        self.colocation.peak.observe(&demand, now);
        let tasks = self.leases.tasks().filter(|(_, task)| task.may_run());
        let mut kinds: Vec<Name> = tasks.map(|(_, task)| task.grant.kind.clone()).collect();
        kinds.extend(self.colocation.request_kinds.values().cloned());
        kinds.sort_unstable();
        self.colocation.history.record(&kinds, now);
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
                share_milli: self.colocation.share_milli(key),
                added_milli: milli(self.colocation.added_slowdown(&task.grant.kind, now)),
                unsaved_ms: task.unsaved_ms,
                urgent: task.grant.priority >= shallotflow_core::job::Spec::URGENT_PRIORITY,
                stopping: task.stopping,
            })
            .collect()
    }

    /// Updates the mean added slowdown with a granted task of `kind`.
    pub(crate) fn record_grant(&mut self, kind: &Name, now: Time) {
        let added = milli(self.colocation.added_slowdown(kind, now));
        let mean = (self.colocation.mean_added_milli * (MEAN_GRANTS - 1) + added) / MEAN_GRANTS;
        self.colocation.mean_added_milli = mean;
    }

    /// How many more batch tasks may start next to the quick requests that are present.
    pub(crate) fn allowed_starts(&self, now: Time) -> u32 {
        if self.colocation.present.is_empty() {
            return u32::MAX;
        }
        let waiting = self.admission.queue(Class::Batch).len() as u32;
        let running = self.admission.running(Class::Batch);
        let mean_added = self.colocation.mean_added_milli;
        let slowdown = self.slowdown_milli(now).saturating_add(waiting * mean_added);
        self.colocation.controller.admits(slowdown, mean_added, running + waiting as usize)
    }

    /// Whether a running task takes many times longer than is usual for its kind.
    pub(crate) fn is_straggler(&self, task: &Task) -> bool {
        let elapsed = Duration::from_millis(task.run_ms);
        let expected = task.grant.expected_run;
        task.may_run()
            && self.colocation.estimates.is_straggler(&task.grant.kind, expected, elapsed)
    }

    /// The resources to reserve for a task that declares `declared`.
    pub(crate) fn estimated_need(&self, kind: &str, declared: &Bundle) -> Bundle {
        let learned = self.colocation.estimates.need(kind, declared);
        let capacity = self.admission.capacity();
        // The correction never makes a task too large for its worker.
        let excess = learned.minus(&capacity.max(declared));
        learned.minus(&excess)
    }
}

fn milli(fraction: f64) -> u32 {
    // The cast saturates.
    (fraction * 1_000.0).round() as u32
}

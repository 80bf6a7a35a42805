//! Decides whether a task waits for a slot in the rack that holds its data or the rest of its group.
//!
//! Elsewhere the task takes longer by a known factor, while a wait in the rack delays it by a time that
//! is only expected. So a task waits only while the expected wait is shorter than the time that a
//! start elsewhere adds, and the time of waiting is bounded by that same addition: a task whose
//! expectation turns out wrong ends at most that much later than if it had not waited.
//!
//! While more tasks come for the rack than it can run, each slot that becomes free is used anyway, and
//! a wait only delays: it pays if the slot would otherwise stay idle until the next task comes. With
//! tasks that come at random at the rate `r`, a slot that is left to them after the wait `w` is used
//! `min(w, u)` earlier than the wait allows or stays idle for `max(u - w, 0)`, where `u` is the time
//! until the next one comes. An idle slot loses `spread_factor - 1` for each second.

use super::Job;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Upper limit of the factor in calculations; beyond it the result would exceed any wait.
const MAX_FACTOR: f64 = 1e6;

/// Demand for a rack from which on its slots count as contested. Below it, all tasks find a slot.
const CONTESTED_FROM: f64 = 1.0;
/// Demand from which on each slot of the rack is taken by the next task that comes. The distance to
/// [`CONTESTED_FROM`] covers the swings of a demand that is measured over about a second.
const CONTESTED_TO: f64 = 1.5;

/// What is known when the place of a task is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Locality {
    /// The time of the decision.
    pub now: Time,
    /// Since when the task could have been running.
    pub ready_since: Time,
    /// Remaining run time of the task in its rack; zero if it is not known.
    pub duration: Duration,
    /// Factor by which the task takes longer outside the rack.
    pub spread_factor: f64,
    /// Latest start in the rack with which the job can still end within its objective;
    /// [`Time::NEVER`] without an objective.
    pub latest_start: Time,
    /// Whether a worker of the rack has room for the task.
    pub has_room: bool,
    /// Expected time until a slot in the rack becomes free, behind the tasks that wait for the rack
    /// already; `None` if no slot is expected.
    pub expected_wait: Option<Duration>,
    /// Tasks a second that have come for the rack lately.
    pub arrival_rate: f64,
    /// Processors that these tasks keep busy, as a share of those that runs in the rack use.
    pub demand: f64,
}

/// Returns `factor` within the limits of calculations; 1 in place of a value that is not a number.
pub(super) fn usable_factor(factor: f64) -> f64 {
    if factor.is_nan() { 1.0 } else { factor.clamp(1.0, MAX_FACTOR) }
}

/// Where a task starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// At a worker of the rack, now.
    Here,
    /// At another worker, now.
    Elsewhere,
    /// At a worker of the rack if one becomes free, and at another from this time on.
    Wait(Time),
}

impl Locality {
    /// Decides where the task starts.
    pub fn decide(&self) -> Decision {
        if self.has_room {
            return Decision::Here;
        }
        let Some(expected) = self.expected_wait else { return Decision::Elsewhere };
        let until = self.wait_limit();
        if until.passed(self.now) || self.now.after(expected) > until {
            return Decision::Elsewhere;
        }
        if self.gain(expected) < 0.0 {
            return Decision::Elsewhere;
        }
        Decision::Wait(until)
    }

    /// Returns the expected gain of a wait of `expected` for all tasks of the rack, seconds.
    fn gain(&self, expected: Duration) -> f64 {
        let (added, wait) = (self.added().as_secs_f64(), expected.as_secs_f64());
        let own = added - wait;
        let contested =
            ((self.demand - CONTESTED_FROM) / (CONTESTED_TO - CONTESTED_FROM)).clamp(0.0, 1.0);
        if contested <= 0.0 || self.arrival_rate <= 0.0 {
            return own;
        }
        let none_comes = (-self.arrival_rate * wait).exp();
        let earlier = (1.0 - none_comes) / self.arrival_rate;
        let idle = none_comes / self.arrival_rate;
        let idle_cost = idle * added / self.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        own - contested * (own + earlier - idle_cost)
    }

    /// Returns the time that a start outside the rack adds to the run.
    fn added(&self) -> Duration {
        self.duration.mul_f64(usable_factor(self.spread_factor) - 1.0)
    }

    /// Returns when the wait ends at the latest. It depends on nothing that changes while the task
    /// waits, so that a wait which has ended does not begin again.
    fn wait_limit(&self) -> Time {
        let added = self.added();
        // Where the job can end in time from elsewhere, the wait leaves enough time for that.
        let latest_elsewhere = self.latest_start.before(added);
        let latest =
            if latest_elsewhere > self.ready_since { latest_elsewhere } else { self.latest_start };
        self.ready_since.after(added).min(latest)
    }
}

impl Job {
    /// Returns the latest start of a task of `step` with which the job ends within its objective, if
    /// the steps that depend on it take their estimated times; [`Time::NEVER`] without an objective.
    pub(super) fn latest_start(&self, step: usize) -> Time {
        let queue = &self.queue;
        // The objective of a queue that sets none is the critical path alone, which no job can meet.
        let has_objective = queue.stretch > 1.0 || queue.target_ms > 0;
        if !has_objective || self.spec.is_long_running() || self.spec.repetitions > 0 {
            return Time::NEVER;
        }
        let steps = &self.spec.steps;
        let mut chains = vec![0_u64; steps.len()];
        for (number, step) in steps.iter().enumerate().rev() {
            chains[number] += step.estimate_ms;
            for before in step.after.iter().map(|before| usize::from(*before)) {
                if before < number {
                    chains[before] = chains[before].max(chains[number]);
                }
            }
        }
        let chain = Duration::from_millis(chains.get(step).copied().unwrap_or(0));
        self.received.after(self.objective()).before(chain)
    }
}

//! Metrics of an entry.

use foldhash::{HashMap, HashMapExt};
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use shallotflow_core::class::Class;
use shallotflow_core::metric;
use shallotflow_core::name::Name;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use std::time::Duration;

/// The values of the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Levels {
    /// Targets that are eligible for requests.
    pub eligible: usize,
    /// Targets that are leaving.
    pub leaving: usize,
    /// Targets that are ejected.
    pub ejected: usize,
    /// Watchers in flight.
    pub watchers: u32,
    /// Retries left in the budget.
    pub retries: u64,
}

/// Metric handles, kept so that a request needs no lookup by name.
pub struct Meters {
    quick: HashMap<Name, Histogram>,
    done_quick: Counter,
    done_watch: Counter,
    retries: Counter,
    relayed: Counter,
    reports: Counter,
    eligible: Gauge,
    leaving: Gauge,
    ejected: Gauge,
    watchers: Gauge,
    budget: Gauge,
}

impl Default for Meters {
    fn default() -> Self {
        let targets = |state: &'static str| gauge!(metric::TARGETS, "state" => state);
        Self {
            quick: HashMap::new(),
            done_quick: requests(Class::Quick, Outcome::Done),
            done_watch: requests(Class::Watch, Outcome::Done),
            retries: counter!(metric::RETRIES),
            relayed: counter!(metric::RELAYED),
            reports: counter!(metric::REPORTS),
            eligible: targets("eligible"),
            leaving: targets("leaving"),
            ejected: targets("ejected"),
            watchers: gauge!(metric::WATCHERS),
            budget: gauge!(metric::RETRY_BUDGET),
        }
    }
}

impl Meters {
    /// Counts a request that a target answered after `latency`.
    pub fn done(&mut self, kind: &Name, class: Class, latency: Duration) {
        if class == Class::Watch {
            self.done_watch.increment(1);
            return;
        }
        self.done_quick.increment(1);
        if let Some(quick) = self.quick.get(kind) {
            quick.record(latency);
            return;
        }
        let quick = histogram!(metric::QUICK_LATENCY, "kind" => kind.to_string());
        quick.record(latency);
        self.quick.insert(kind.clone(), quick);
    }

    /// Counts a request that ended with a problem.
    pub fn problem(&self, class: Class, outcome: Outcome, code: Code) {
        requests(class, outcome).increment(1);
        counter!(metric::REFUSALS, "reason" => code.as_str()).increment(1);
    }

    /// Counts a retry.
    pub fn retry(&self) {
        self.retries.increment(1);
    }

    /// Counts a request that was relayed to another entry.
    pub fn relayed(&self) {
        self.relayed.increment(1);
    }

    /// Counts an agent's report.
    pub fn report(&self) {
        self.reports.increment(1);
    }

    /// Counts the ejection of a target.
    pub fn ejected(&self, cause: &'static str) {
        counter!(metric::EJECTIONS, "cause" => cause).increment(1);
    }

    /// Sets the gauges, and drops the handles of kinds that no target serves any more.
    ///
    /// `has_targets` returns whether a kind has targets.
    pub fn update(&mut self, levels: &Levels, has_targets: impl Fn(&str) -> bool) {
        self.eligible.set(levels.eligible as f64);
        self.leaving.set(levels.leaving as f64);
        self.ejected.set(levels.ejected as f64);
        self.watchers.set(levels.watchers);
        self.budget.set(levels.retries as f64);
        self.quick.retain(|kind, _| has_targets(kind));
    }
}

fn requests(class: Class, outcome: Outcome) -> Counter {
    let (class, outcome) = (class.as_str(), outcome.as_str());
    counter!(metric::REQUESTS, "class" => class, "outcome" => outcome)
}

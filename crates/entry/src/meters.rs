//! Metrics of an entry, named for what operators watch.

use foldhash::{HashMap, HashMapExt};
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use std::time::Duration;

/// Handles of the metrics, so that a request looks none up by name.
pub struct Meters {
    quick: HashMap<Name, Histogram>,
    done: [Counter; 2],
    retries: Counter,
    relayed: Counter,
    targets: Gauge,
    watchers: Gauge,
    budget: Gauge,
}

impl Default for Meters {
    fn default() -> Self {
        let done = |class: Class| {
            let outcome = Outcome::Done.as_str();
            counter!("shallotflow_requests_total", "class" => class.as_str(), "outcome" => outcome)
        };
        Self {
            quick: HashMap::new(),
            done: [done(Class::Quick), done(Class::Watch)],
            retries: counter!("shallotflow_retries_total"),
            relayed: counter!("shallotflow_relayed_total"),
            targets: gauge!("shallotflow_targets"),
            watchers: gauge!("shallotflow_watchers"),
            budget: gauge!("shallotflow_retry_budget"),
        }
    }
}

impl Meters {
    /// Counts a request that was answered by a target after `latency`.
    pub fn done(&mut self, kind: &Name, class: Class, latency: Duration) {
        self.done[usize::from(class == Class::Watch)].increment(1);
        if class == Class::Watch {
            return;
        }
        let quick = self
            .quick
            .entry(kind.clone())
            .or_insert_with(|| histogram!("shallotflow_quick_seconds", "kind" => kind.to_string()));
        quick.record(latency.as_secs_f64());
    }

    /// Counts a request that ended with a problem.
    pub fn problem(&self, class: Class, outcome: Outcome, code: Code) {
        let (class, outcome) = (class.as_str(), outcome.as_str());
        counter!("shallotflow_requests_total", "class" => class, "outcome" => outcome).increment(1);
        counter!("shallotflow_refusals_total", "code" => code.as_str()).increment(1);
    }

    /// Counts an attempt after the first.
    pub fn retry(&self) {
        self.retries.increment(1);
    }

    /// Counts a request that was passed to another entry.
    pub fn relayed(&self) {
        self.relayed.increment(1);
    }

    /// Counts a target that was set aside.
    pub fn ejected(&self, cause: &'static str) {
        counter!("shallotflow_ejections_total", "cause" => cause).increment(1);
    }

    /// Sets the gauges, and forgets the kinds that no target serves any more.
    pub fn tick(
        &mut self,
        targets: usize,
        watchers: u32,
        budget: u64,
        known: impl Fn(&str) -> bool,
    ) {
        self.targets.set(targets as f64);
        self.watchers.set(watchers);
        self.budget.set(budget as f64);
        self.quick.retain(|kind, _| known(kind));
    }
}

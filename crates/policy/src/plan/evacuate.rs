//! Keeps the workers of evacuated failure domains out of every search.
//!
//! An evacuated worker leaves the ranking, so that a pass does not see it, and its agent refuses
//! starts that it has received before. What runs there goes on.

use super::{Evacuation, Event, Table};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// The cause of the stop of a start that an evacuation withdraws.
const REASON: &str = "its failure domain is evacuated";

impl Table {
    /// Replaces the evacuated failure domains by `domains`, with the revision of each request; a
    /// domain that the configuration evacuates has revision 0.
    pub fn set_evacuated(&mut self, domains: BTreeMap<Name, i64>, now: Time) {
        let (added, removed) = self.evacuations.replace(domains, now);
        for domain in added {
            let agents = self.agents_in(&domain);
            let runs = agents.iter().map(|agent| self.workers[agent].placed.len()).sum();
            let revision = self.evacuations.revision(&domain);
            let workers = agents.len();
            self.events.push(Event::Evacuated { domain, revision, workers, runs });
            for agent in agents {
                self.update_evacuation(&agent, now);
            }
        }
        for domain in removed {
            let agents = self.agents_in(&domain);
            let workers = agents.len();
            self.events.push(Event::Readmitted { domain, workers });
            for agent in agents {
                self.update_evacuation(&agent, now);
            }
        }
    }

    /// Returns the evacuated failure domains; the cost grows with the number of workers, so this is
    /// for operators.
    pub fn evacuations(&self) -> Vec<Evacuation> {
        let describe = |(domain, revision, since): (&Name, i64, Time)| {
            let agents = self.agents_in(domain);
            let runs = agents.iter().map(|agent| self.workers[agent].placed.len()).sum();
            Evacuation { domain: domain.clone(), revision, since, workers: agents.len(), runs }
        };
        self.evacuations.iter().map(describe).collect()
    }

    /// Returns the number of starts that were withdrawn or refused because of an evacuation since
    /// the last call.
    pub fn take_evacuation_refusals(&mut self) -> u64 {
        self.evacuations.take_refusals()
    }

    /// Brings a worker up to date with the evacuated domains and with its own one.
    pub(super) fn update_evacuation(&mut self, agent: &Name, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        let evacuated = worker
            .profile
            .as_ref()
            .is_some_and(|profile| self.evacuations.contains(&profile.failure_domain));
        if worker.evacuated == evacuated {
            return;
        }
        worker.evacuated = evacuated;
        self.evacuations.count_change();
        self.updated.insert(agent.clone());
        self.update_worker_lists(agent);
        if !evacuated {
            return;
        }
        if self.trials.remove(agent).is_some() {
            self.may_start = true;
        }
        // A reply with the order may be on its way, so only the answer to a stop shows that the run
        // does not start.
        for (task, run) in self.withdraw_starts(agent) {
            let state = self.task_state(&task);
            if state.is_some_and(|state| state.is_current(agent, run)) {
                self.evacuations.count_refusal();
                self.stop_run(task, REASON, now);
            }
        }
    }

    fn agents_in(&self, domain: &str) -> Vec<Name> {
        let inside = self.workers.iter().filter(|(_, worker)| {
            worker.profile.as_ref().is_some_and(|profile| &*profile.failure_domain == domain)
        });
        inside.map(|(agent, _)| agent.clone()).collect()
    }
}

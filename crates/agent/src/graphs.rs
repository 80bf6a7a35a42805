//! Graph tasks, which the entry that owns them starts and stops.

use shallotflow_core::settings::agent::Settings;
use shallotflow_policy::plan::Lease;
use shallotflow_scheduler::agent::{self, Agent};
use shallotflow_scheduler::runs::{Client, follow};
use shallotflow_store::client as store;
use std::rc::Rc;

/// Starts the agent of graph tasks, if the worker runs them.
pub(crate) fn start(settings: &Settings) -> Option<Rc<Agent>> {
    let worker = Rc::new(Client::new(settings.runs?));
    let endpoints = settings.store.clone();
    let store = store::Client::new(store::Settings { endpoints, ..store::Settings::default() });
    let limits =
        agent::Settings { lease: Lease::new(settings.run_lease), ..agent::Settings::default() };
    let name = settings.worker.clone();
    let agent = Agent::new(limits, name, rand::random(), worker.clone(), Rc::new(store));
    monoio::spawn(follow(agent.clone(), worker, settings.domain.clone()));
    monoio::spawn(agent.clone().run());
    Some(agent)
}

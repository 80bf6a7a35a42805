//! The agent, through which all work reaches its worker.
//!
//! - [`worker`]: the control interface of the worker.
//! - `graphs`: graph tasks, which the entry that owns them starts and stops.
//! - [`request`]: requests from entries, admitted and forwarded to the target.

mod agent;
mod batch;
mod colocation;
mod config;
mod graphs;
mod inspect;
mod leave;
mod report;
pub mod request;
mod state;
pub mod worker;

use crate::agent::Agent;
use anyhow::Context;
use monoio::net::TcpListener;
use shallotflow_core::settings::agent::Settings;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_runtime::program::Program;
use shallotflow_runtime::stop::Stop;
use shallotflow_runtime::{listen, operators};
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::server::serve;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two evaluations of the fleet configuration.
const CONFIG_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two ticks while work is running or queued.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two ticks otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The addresses that an agent listens on.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The address for requests from entries.
    pub requests: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

/// Runs an agent until `stop` is raised or a newer agent attaches to its worker.
///
/// # Errors
///
/// Fails when an address cannot be listened on, and once a newer agent has attached.
pub async fn run(settings: Settings, stop: Stop, ready: impl FnOnce(Bound)) -> anyhow::Result<()> {
    let requests = bind(settings.listen)?;
    let program = Program::new("agent", &settings.worker, &settings.log)?;
    let operators = operators::Listener::bind(settings.operators_listen)?;
    let operators_gate = operators.gate();
    let bound = Bound { requests: requests.local_addr()?, operators: operators.address() };
    let control = Rc::new(worker::Client::new(settings.control));
    let agent = Agent::new(settings, control, bound.requests);
    let limits = agent.settings().limits.clone();
    let gate = Gate::default();
    let server = Rc::new(request::Server::new(agent.clone()));
    monoio::spawn(serve(requests, server, limits, gate.clone()));
    monoio::spawn(report::follow_entries(agent.clone()));
    monoio::spawn(colocation::follow_usage(agent.clone()));
    let inspect = Rc::new(agent.clone());
    let limits = agent.settings().limits.clone();
    monoio::spawn(operators.serve(program, inspect, limits, stop.clone()));
    let graphs = graphs::start(agent.settings());
    ready(bound);
    let result = monoio::select! {
        () = leave::leave(agent.clone(), stop, gate.clone(), graphs) => Ok(()),
        () = tick(agent.clone()) => Ok(()),
        result = worker::watch(agent.clone()) => result,
    };
    operators_gate.abort();
    gate.abort();
    operators_gate.wait_closed().await;
    gate.wait_closed().await;
    result.context("another agent has taken this worker over; end this one")
}

async fn tick(agent: Agent) {
    let mut configured = Time::ZERO;
    loop {
        agent.tick();
        colocation::control(&agent);
        if agent.state().draining {
            leave::evict(&agent);
        }
        let now = Monotonic.now();
        if configured.after(CONFIG_INTERVAL).passed(now) {
            configured = now;
            // An exception in the configuration may have ended.
            agent.apply_config();
        }
        let busy = agent.state().is_busy();
        monoio::time::sleep(if busy { TICK_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    listen::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))
}

//! Starts an entry and stops it.

use crate::batch::Batch;
use crate::bound::Bound;
use crate::directory::Peer;
use crate::operators::View;
use crate::state::State;
use crate::unavailable::Unavailable;
use crate::{Settings, callers, config, peers, tick};
use anyhow::Context;
use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_runtime::operators::Listener;
use shallotflow_runtime::program::Program;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_store::client as store;
use shallotflow_wire::proto::scheduler_server::SchedulerServer;
use shallotflow_wire::{http, rpc};
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs an entry until `stop` is raised; `ready` gets the bound addresses.
///
/// # Errors
///
/// Fails when an address cannot be bound or the log filter is not valid.
pub async fn run(settings: Settings, stop: Stop, ready: impl FnOnce(Bound)) -> anyhow::Result<()> {
    let program = Program::new("entry", &settings.name, &settings.log)?;
    let callers = bind(settings.callers_listen, "callers_listen")?;
    let peers = bind(settings.peers_listen, "peers_listen")?;
    let operators = Listener::bind(settings.operators_listen)
        .with_context(|| taken(settings.operators_listen, "operators_listen"))?;
    let bound = Bound {
        callers: callers.local_addr()?,
        peers: peers.local_addr()?,
        operators: operators.address(),
    };
    let batch: Rc<dyn Batch> = Rc::new(Unavailable);
    let own = Peer { name: settings.name.clone(), callers: bound.callers, peers: bound.peers };
    let state = Rc::new(State::new(settings, own, batch));
    let limits = state.settings.limits.clone();
    let view = Rc::new(View::new(state.clone()));
    let operators_gate = operators.gate();
    monoio::spawn(operators.serve(program.clone(), view, limits, stop.clone()));
    let stop_peers = Rc::new(Event::new());
    follow_config(&state);
    serve_callers(&state, callers);
    serve_peers(&state, peers, stop_peers.clone());
    ready(bound);
    monoio::select! {
        () = leave(&state, &stop) => {}
        () = tick::run(state.clone()) => {}
    }
    stop_peers.notify(usize::MAX);
    state.gate.cut();
    operators_gate.cut();
    state.gate.wait_closed().await;
    operators_gate.wait_closed().await;
    spdlog::info!("entry stopped");
    Ok(())
}

/// Waits for a stop, then finishes what is in progress, within the time that the settings allow.
async fn leave(state: &State, stop: &Stop) {
    stop.wait(Level::Graceful).await;
    spdlog::info!("entry leaves");
    let finishing = async {
        monoio::time::sleep(state.settings.linger).await;
        state.gate.drain();
        let closed = monoio::time::timeout(state.settings.drain, state.gate.wait_closed()).await;
        if closed.is_err() {
            let left = state.gate.active();
            spdlog::warn!("requests are cut off at the end of the drain time", kv: { left });
        }
    };
    monoio::select! {
        () = finishing => {}
        () = stop.wait(Level::Immediate) => {}
    }
}

fn bind(address: SocketAddr, setting: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| taken(address, setting))
}

fn taken(address: SocketAddr, setting: &str) -> String {
    format!("{setting} = {address} cannot be bound; choose a free address of this host")
}

fn follow_config(state: &State) {
    let endpoints = state.settings.store.clone();
    if endpoints.is_empty() {
        return;
    }
    let settings = store::Settings { endpoints, ..store::Settings::default() };
    let store = Rc::new(store::Client::new(settings));
    monoio::spawn(config::follow(state.config.clone(), store));
}

fn serve_callers(state: &Rc<State>, listener: TcpListener) {
    let front = Rc::new(callers::Front::new(state.clone()));
    let limits = state.settings.limits.clone();
    monoio::spawn(http::server::serve(listener, front, limits, state.gate.clone()));
}

fn serve_peers(state: &Rc<State>, listener: TcpListener, stop: Rc<Event>) {
    let (service, calls) = peers::channel();
    monoio::spawn(calls.run(state.clone()));
    monoio::spawn(rpc::serve(listener, SchedulerServer::new(service), stop));
}

//! Starts an entry and stops it.

use crate::batch::{self, Batch};
use crate::bound::Bound;
use crate::directory::Peer;
use crate::operators::View;
use crate::session::{Presence, Session};
use crate::state::State;
use crate::unavailable::Unavailable;
use crate::{Settings, callers, config, peers, tick};
use anyhow::Context;
use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_runtime::listen;
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
    let service = start_batch(&settings, bound);
    let batch: Rc<dyn Batch> = match &service {
        Some(service) => Rc::new(service.clone()),
        None => Rc::new(Unavailable),
    };
    let own = Peer { name: settings.name.clone(), callers: bound.callers, peers: bound.peers };
    let state = Rc::new(State::new(settings, own, batch));
    if let Some(service) = &service {
        let session = service.session();
        monoio::spawn(follow_entries(state.clone(), session.clone()));
        monoio::spawn(config::follow(state.config.clone(), session.store()));
    }
    let limits = state.settings.limits.clone();
    let view = Rc::new(View::new(state.clone()));
    let operators_gate = operators.gate();
    monoio::spawn(operators.serve(program.clone(), view, limits, stop.clone()));
    let stop_peers = Rc::new(Event::new());
    serve_callers(&state, callers);
    serve_peers(&state, peers, stop_peers.clone());
    ready(bound);
    monoio::select! {
        () = leave(&state, &stop) => {}
        () = tick::run(state.clone()) => {}
    }
    if let Some(service) = service.filter(|_| stop.level() < Level::Immediate) {
        service.stop().await;
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
    listen::bind(address).with_context(|| taken(address, setting))
}

fn taken(address: SocketAddr, setting: &str) -> String {
    format!("{setting} = {address} cannot be bound; choose a free address of this host")
}

/// Starts batch work, if a store is configured.
fn start_batch(settings: &Settings, bound: Bound) -> Option<Rc<batch::Service>> {
    if settings.store.is_empty() {
        return None;
    }
    let endpoints = settings.store.clone();
    let store = store::Client::new(store::Settings { endpoints, ..store::Settings::default() });
    let presence = Presence { peers: bound.peers, callers: bound.callers };
    let name = settings.name.clone();
    let session = Session::start(name, presence, settings.owner_lease, Rc::new(store));
    Some(batch::Service::start(settings.clone(), session))
}

/// Keeps the directory of live entries, which agents learn from replies to their reports.
async fn follow_entries(state: Rc<State>, session: Rc<Session>) {
    loop {
        let changed = session.listen();
        state.directory.borrow_mut().set(session.live());
        changed.await;
    }
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

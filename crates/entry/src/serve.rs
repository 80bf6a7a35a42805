//! Starts and stops an entry.

use crate::batch::{self, Batch};
use crate::bound::Bound;
use crate::directory::Peer;
use crate::listeners::Listeners;
use crate::session::{Presence, Session};
use crate::state::State;
use crate::unavailable::Unavailable;
use crate::{Settings, config, graphs, tick};
use event_listener::Event;
use shallotflow_runtime::program::Program;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_store::client as store;
use shallotflow_store::store::Store;
use std::rc::Rc;

/// Runs an entry until `stop` is raised; calls `ready` with the bound addresses.
///
/// # Errors
///
/// Fails when an address cannot be bound or the log filter is not valid.
pub async fn run(settings: Settings, stop: Stop, ready: impl FnOnce(Bound)) -> anyhow::Result<()> {
    let program = Program::new("entry", &settings.name, &settings.log)?;
    let mut listeners = Listeners::bind(&settings)?;
    let bound = listeners.bound()?;
    let store = store(&settings);
    let service = store.clone().map(|store| start_batch(&settings, bound, store));
    let batch: Rc<dyn Batch> = match &service {
        Some(service) => Rc::new(service.clone()),
        None => Rc::new(Unavailable),
    };
    let stop_graphs = Rc::new(Event::new());
    let graphs_listener = listeners.take_graphs();
    let graphs = match (&graphs_listener, store) {
        (Some(listener), Some(store)) => Some(graphs::entry(&settings, listener, store)?),
        _ => None,
    };
    let own = Peer { name: settings.name.clone(), callers: bound.callers, peers: bound.peers };
    let state = Rc::new(State::new(settings, own, batch, graphs));
    if let Some(service) = &service {
        let session = service.session();
        monoio::spawn(follow_entries(state.clone(), session.clone()));
        monoio::spawn(config::follow(state.config.clone(), session.store()));
    }
    if let Some(listener) = graphs_listener {
        monoio::spawn(graphs::join(state.clone(), listener, stop_graphs.clone()));
    }
    let open = listeners.open(&state, program, &stop);
    ready(bound);
    monoio::select! {
        () = drain(&state, &stop) => {}
        () = tick::run(state.clone()) => {}
    }
    if let Some(service) = service.filter(|_| stop.level() < Level::Immediate) {
        service.stop().await;
    }
    stop_graphs.notify(usize::MAX);
    open.close().await;
    spdlog::info!("entry stopped");
    Ok(())
}

/// Waits for a stop, then drains the requests in flight for at most the drain time of the settings.
async fn drain(state: &State, stop: &Stop) {
    stop.wait(Level::Graceful).await;
    spdlog::info!("entry leaves");
    if let Some(graphs) = state.graphs.clone() {
        // Releasing the ownership may be slow at the store; it must not use up the drain time.
        monoio::spawn(async move { graphs.leave().await });
    }
    let drained = async {
        monoio::time::sleep(state.settings.linger).await;
        state.gate.drain();
        let closed = monoio::time::timeout(state.settings.drain, state.gate.wait_closed()).await;
        if closed.is_err() {
            let active = state.gate.active();
            spdlog::warn!("requests are cut off at the end of the drain time", kv: { left = active });
        }
    };
    monoio::select! {
        () = drained => {}
        () = stop.wait(Level::Immediate) => {}
    }
}

/// Returns a client of the configured store, if there is one.
fn store(settings: &Settings) -> Option<Rc<dyn Store>> {
    if settings.store.is_empty() {
        return None;
    }
    let endpoints = settings.store.clone();
    Some(Rc::new(store::Client::new(store::Settings { endpoints, ..store::Settings::default() })))
}

/// Starts the session at the store and the batch service.
fn start_batch(settings: &Settings, bound: Bound, store: Rc<dyn Store>) -> Rc<batch::Service> {
    let presence = Presence { peers: bound.peers, callers: bound.callers };
    let name = settings.name.clone();
    let session = Session::start(name, presence, settings.owner_lease, store);
    batch::Service::start(settings.clone(), session)
}

/// Keeps the directory of live entries up to date. Agents receive it in replies to their reports.
async fn follow_entries(state: Rc<State>, session: Rc<Session>) {
    loop {
        let changed = session.listen();
        state.directory.borrow_mut().set(session.live_entries());
        changed.await;
    }
}

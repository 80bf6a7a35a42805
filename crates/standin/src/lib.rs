//! Small stand-ins for the platform, for tests and the demo.
//!
//! - [`store`]: an in-memory key-value store with injectable faults.
//! - [`worker`]: a worker that runs tasks under leases, behind a control interface.
//! - [`runs`]: a worker that runs graph tasks.
//! - [`target`]: a target whose requests are slowed down by other work on the same worker.
//! - [`crowd`]: clients that send large bodies and stop just short of their end.
//! - [`audit`]: a record of what actually ran and which guarantees were violated.

pub mod audit;
pub mod crowd;
pub mod runs;
pub mod store;
pub mod target;
pub mod worker;

mod reply;

use anyhow::Context;
use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_core::settings::standin::Settings;
use shallotflow_runtime::listen as port;
use shallotflow_runtime::program::Program;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::server::{Handler, serve};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time for peers to close their idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the shutdown checks whether the requests in flight have finished.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// The addresses that a stand-in process listens on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bound {
    /// Address of the store, if it runs in this process.
    pub store: Option<SocketAddr>,
    /// Address of the worker's control interface, if the worker runs in this process.
    pub control: Option<SocketAddr>,
    /// Address of the target, if the worker runs in this process.
    pub target: Option<SocketAddr>,
    /// Address at which the worker accepts graph tasks, if it does.
    pub runs: Option<SocketAddr>,
}

/// Runs the stand-ins that `settings` enable until `stop` is raised.
///
/// Calls `ready` with the bound addresses once all of them listen.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub async fn run(settings: Settings, stop: Stop, ready: impl FnOnce(Bound)) -> anyhow::Result<()> {
    Program::new("standin", &settings.worker, &settings.log)?;
    run_with(settings, Handles::default(), stop, ready).await
}

/// Handles that a test shares with a stand-in, or several stand-ins share with each other.
#[derive(Clone, Debug, Default)]
pub struct Handles {
    /// The record of what actually ran.
    pub audit: audit::Audit,
    /// The faults injected into the store.
    pub faults: store::Faults,
    /// Counts of the calls to the store.
    pub counters: store::Counters,
}

/// Like [`run`], with handles supplied by the caller and without the setup of the program itself.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub async fn run_with(
    settings: Settings,
    handles: Handles,
    stop: Stop,
    ready: impl FnOnce(Bound),
) -> anyhow::Result<()> {
    let gate = Gate::default();
    let closing = Rc::new(Event::new());
    let store = store::Server::new(handles.faults, handles.counters, settings.seed);
    let worker = worker::Worker::new(settings.clone(), handles.audit);
    let control = Rc::new(worker::Control::new(worker.clone()));
    let target = Rc::new(target::Target::new(worker.clone()));
    let runs = runs::Server::new(&settings);
    if settings.runs_listen.is_some() {
        monoio::spawn(runs.clone().work());
    }
    let bound = Bound {
        store: listen_store(settings.store_listen, store, &closing)?,
        control: listen(settings.control_listen, control, &settings, &gate)?,
        target: listen(settings.target_listen, target, &settings, &gate)?,
        runs: listen(settings.runs_listen, Rc::new(runs.clone()), &settings, &gate)?,
    };
    ready(bound);
    stop.wait(Level::Graceful).await;
    worker.leave();
    runs.leave(settings.drain);
    drain(&worker, &settings, &stop).await;
    closing.notify(usize::MAX);
    if stop.level() == Level::Graceful {
        gate.drain();
        // Idle connections close promptly; any that remain are aborted below.
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, gate.wait_closed()).await;
    }
    gate.abort();
    gate.wait_closed().await;
    worker.close();
    Ok(())
}

/// Waits for the requests in flight and records those that the drain timeout aborts.
async fn drain(worker: &worker::Worker, settings: &Settings, stop: &Stop) {
    let finished = async {
        while worker.active_requests() > 0 {
            monoio::time::sleep(DRAIN_POLL).await;
        }
    };
    monoio::select! {
        () = stop.wait(Level::Immediate) => {}
        result = monoio::time::timeout(settings.drain, finished) => {
            if result.is_err() {
                worker.record_aborted_requests();
            }
        }
    }
}

fn listen(
    address: Option<SocketAddr>,
    handler: Rc<dyn Handler>,
    settings: &Settings,
    gate: &Gate,
) -> anyhow::Result<Option<SocketAddr>> {
    let Some(address) = address else { return Ok(None) };
    let listener = bind(address)?;
    let bound = listener.local_addr()?;
    monoio::spawn(serve(listener, handler, settings.limits.clone(), gate.clone()));
    Ok(Some(bound))
}

fn listen_store(
    address: Option<SocketAddr>,
    store: store::Server,
    closing: &Rc<Event>,
) -> anyhow::Result<Option<SocketAddr>> {
    let Some(address) = address else { return Ok(None) };
    let listener = bind(address)?;
    let bound = listener.local_addr()?;
    monoio::spawn(store::serve(listener, store, closing.clone()));
    Ok(Some(bound))
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    port::bind(address)
        .with_context(|| format!("cannot listen on {address}; choose a free address"))
}

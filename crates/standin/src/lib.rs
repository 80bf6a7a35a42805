//! Small stand-ins of the platform, for tests and the demo.
//!
//! - [`store`]: the platform's key-value store, in memory, with faults.
//! - [`worker`]: runs tasks under leases, behind a control interface.
//! - [`runs`]: a worker that runs tasks of graphs.
//! - [`target`]: answers requests, slowed down by what runs on the same worker.
//! - [`audit`]: what really happened, with the promises that were broken.

pub mod audit;
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

/// The longest wait for peers to close their idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// The addresses that a stand-in process listens on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bound {
    /// Where the store listens, if it runs here.
    pub store: Option<SocketAddr>,
    /// Where the worker's control interface listens, if the worker runs here.
    pub control: Option<SocketAddr>,
    /// Where the target listens, if the worker runs here.
    pub target: Option<SocketAddr>,
    /// Where the worker takes tasks of graphs, if it does.
    pub runs: Option<SocketAddr>,
}

/// Runs the stand-ins that `settings` name until `stop` is raised.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub async fn run(settings: Settings, stop: Stop, ready: impl FnOnce(Bound)) -> anyhow::Result<()> {
    Program::new("standin", &settings.worker, &settings.log)?;
    run_with(settings, Handles::default(), stop, ready).await
}

/// What a test shares with a stand-in, or several stand-ins with each other.
#[derive(Clone, Debug, Default)]
pub struct Handles {
    /// What really happened.
    pub audit: audit::Audit,
    /// The faults that the store shows.
    pub faults: store::Faults,
    /// What the store was asked.
    pub counters: store::Counters,
}

/// Like [`run`], with handles that the caller keeps.
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
    let floor = worker::Floor::new(settings.clone(), handles.audit);
    let control = Rc::new(worker::Control::new(floor.clone()));
    let target = Rc::new(target::Target::new(floor.clone()));
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
    floor.leave();
    runs.leave(settings.drain);
    drain(&floor, &settings, &stop).await;
    closing.notify(usize::MAX);
    if stop.level() == Level::Graceful {
        gate.drain();
        // Idle connections close within moments; one that does not is cut below.
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, gate.wait_closed()).await;
    }
    gate.cut();
    gate.wait_closed().await;
    floor.close();
    Ok(())
}

/// Waits for requests in progress; counts those that a planned stop cuts off.
async fn drain(floor: &worker::Floor, settings: &Settings, stop: &Stop) {
    let finished = async {
        while floor.requests() > 0 {
            monoio::time::sleep(DRAIN_POLL).await;
        }
    };
    monoio::select! {
        () = stop.wait(Level::Immediate) => {}
        result = monoio::time::timeout(settings.drain, finished) => {
            if result.is_err() {
                floor.cut_off();
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

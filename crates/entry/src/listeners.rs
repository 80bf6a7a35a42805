//! The listeners of an entry: bind, accept, close.

use crate::bound::Bound;
use crate::operators::Inspector;
use crate::state::State;
use crate::{Settings, callers, peers};
use anyhow::Context;
use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_runtime::operators::Listener;
use shallotflow_runtime::program::Program;
use shallotflow_runtime::stop::Stop;
use shallotflow_wire::http::budget::Budget;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::proto::scheduler_server::SchedulerServer;
use shallotflow_wire::{http, rpc};
use std::net::SocketAddr;
use std::rc::Rc;

/// Listeners that are bound but do not accept connections yet.
pub(crate) struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    graphs: Option<TcpListener>,
    operators: Listener,
}

/// Listeners that accept connections.
pub(crate) struct Open {
    state: Rc<State>,
    stop_peers: Rc<Event>,
    operators: Gate,
}

impl Listeners {
    /// Binds the addresses from the settings.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound; the error names the setting.
    pub(crate) fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let operators = settings.operators_listen;
        Ok(Self {
            callers: bind(settings.callers_listen, "callers_listen")?,
            peers: bind(settings.peers_listen, "peers_listen")?,
            graphs: settings
                .graphs_listen
                .map(|address| bind(address, "graphs_listen"))
                .transpose()?,
            operators: Listener::bind(operators)
                .with_context(|| bind_error(operators, "operators_listen"))?,
        })
    }

    /// Returns the bound addresses.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be read from its socket.
    pub(crate) fn bound(&self) -> std::io::Result<Bound> {
        Ok(Bound {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            graphs: self.graphs.as_ref().map(TcpListener::local_addr).transpose()?,
            operators: self.operators.address(),
        })
    }

    /// Takes the listener for calls about jobs of several tasks, if there is one.
    pub(crate) fn take_graphs(&mut self) -> Option<TcpListener> {
        self.graphs.take()
    }

    /// Starts to accept callers, agents, other entries and operators.
    pub(crate) fn open(self, state: &Rc<State>, program: Program, stop: &Stop) -> Open {
        let limits = state.settings.limits.clone();
        let operators = self.operators.gate();
        let budget = Budget::new(limits.held_bytes);
        let inspector = Rc::new(Inspector::new(state.clone()));
        let listener = self.operators.within(budget.clone());
        monoio::spawn(listener.serve(program, inspector, limits.clone(), stop.clone()));
        let router = Rc::new(callers::Router::new(state.clone()));
        let gate = state.gate.clone();
        monoio::spawn(http::server::serve_within(self.callers, router, limits, gate, budget));
        let stop_peers = Rc::new(Event::new());
        let (service, calls) = peers::channel();
        monoio::spawn(calls.run(state.clone()));
        let service = SchedulerServer::new(service);
        monoio::spawn(rpc::serve(self.peers, service, stop_peers.clone()));
        Open { state: state.clone(), stop_peers, operators }
    }
}

impl Open {
    /// Aborts the remaining exchanges, and waits until all connections are closed.
    pub(crate) async fn close(self) {
        self.stop_peers.notify(usize::MAX);
        self.state.gate.abort();
        self.operators.abort();
        self.state.gate.wait_closed().await;
        self.operators.wait_closed().await;
    }
}

fn bind(address: SocketAddr, setting: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| bind_error(address, setting))
}

fn bind_error(address: SocketAddr, setting: &str) -> String {
    format!("{setting} = {address} cannot be bound; choose a free address of this host")
}

//! The operators' listener, and state dumps on a signal.

use super::Inspect;
use super::handler::Handler;
use crate::listen;
use crate::program::Program;
use crate::stop::{Dump, Level, Stop};
use monoio::net::TcpListener;
use shallotflow_wire::http::budget::Budget;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::server;
use std::net::SocketAddr;
use std::rc::Rc;

/// The operators' listener, bound to its address.
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    gate: Gate,
    budget: Option<Budget>,
}

impl Listener {
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this host.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = listen::bind(address)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, gate: Gate::default(), budget: None })
    }

    /// Lets the connections share the budget of the process.
    pub fn within(self, budget: Budget) -> Self {
        Self { budget: Some(budget), ..self }
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The gate of the listener's connections; the program drains it as the last step of a stop.
    pub fn gate(&self) -> Gate {
        self.gate.clone()
    }

    /// Serves operators, and dumps the state to the log on SIGUSR1, until the gate drains or an
    /// immediate stop is requested.
    ///
    /// During a graceful stop it continues to serve, and `/readyz` reports that the process is
    /// leaving.
    pub async fn serve(
        self,
        program: Program,
        inspect: Rc<dyn Inspect>,
        limits: Limits,
        stop: Stop,
    ) {
        let dumping = dump_on_signal(inspect.clone());
        let handler = Rc::new(Handler { program, inspect, stop: stop.clone() });
        let budget = self.budget.unwrap_or_else(|| Budget::new(limits.held_bytes));
        let serving = server::serve_within(self.listener, handler, limits, self.gate, budget);
        monoio::select! {
            () = serving => {}
            () = dumping => {}
            () = stop.wait(Level::Immediate) => {}
        }
    }
}

async fn dump_on_signal(inspect: Rc<dyn Inspect>) {
    let mut signal = Dump::default();
    loop {
        signal.wait().await;
        let state = inspect.dump();
        spdlog::info!("state dump", kv: { state:serde = state });
    }
}

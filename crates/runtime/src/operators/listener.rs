//! The listener and the dump on a signal.

use super::Inspect;
use super::handler::Handler;
use crate::listen;
use crate::program::Program;
use crate::stop::{Dump, Level, Stop};
use monoio::net::TcpListener;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::server;
use std::net::SocketAddr;
use std::rc::Rc;

/// The bound listener of operators.
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    gate: Gate,
}

impl Listener {
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken or not one of this host.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = listen::bind(address)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, gate: Gate::default() })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The gate of its connections; the program drains it as the last step of a stop.
    pub fn gate(&self) -> Gate {
        self.gate.clone()
    }

    /// Answers operators, and dumps to the log on SIGUSR1, until its gate drains or an immediate
    /// stop.
    ///
    /// During a graceful stop it keeps answering, and `/readyz` says that the process leaves.
    pub async fn serve(
        self,
        program: Program,
        inspect: Rc<dyn Inspect>,
        limits: Limits,
        stop: Stop,
    ) {
        let dumping = dump_on_signal(inspect.clone());
        let handler = Rc::new(Handler { program, inspect, stop: stop.clone() });
        let serving = server::serve(self.listener, handler, limits, self.gate);
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

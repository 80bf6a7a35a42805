//! A worker with its target.

use super::settings::worker_name;
use super::{Node, Settings};
use shallotflow_core::name::Name;
use shallotflow_standin::facts::Board;
use shallotflow_standin::{Bound, Handles};
use std::net::SocketAddr;

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Where its control interface listens.
    pub control: SocketAddr,
    /// Where its target listens.
    pub target: SocketAddr,
    /// The process.
    pub node: Node,
}

impl Worker {
    /// Starts the worker with this index, on ports chosen by the system.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot start.
    pub fn start(
        settings: &Settings,
        board: &Board,
        index: usize,
        fails_tasks: bool,
    ) -> anyhow::Result<Self> {
        let settings = settings.worker(index, fails_tasks);
        let handles = Handles { board: board.clone(), ..Handles::default() };
        let main = move |stop, ready| {
            Box::pin(shallotflow_standin::run_with(settings, handles, stop, ready)) as _
        };
        let name = worker_name(index);
        let (node, bound) = Node::start::<Bound>(name.to_string(), main)?;
        let (Some(control), Some(target)) = (bound.control, bound.target) else {
            anyhow::bail!("{name} has no control interface or no target");
        };
        Ok(Self { name, control, target, node })
    }

    /// Ends the worker and all that it runs at once, without any goodbye.
    pub fn kill(&mut self) {
        // The stand-in tells the board what ended with it, as no dying machine could.
        self.node.stop_immediately();
    }
}

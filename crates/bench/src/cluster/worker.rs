//! A worker with its target.

use super::settings::worker_name;
use super::{Node, Settings};
use shallotflow_core::name::Name;
use shallotflow_standin::audit::Audit;
use shallotflow_standin::{Bound, Handles};
use std::net::SocketAddr;

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Address of its control interface.
    pub control: SocketAddr,
    /// Address of its target.
    pub target: SocketAddr,
    /// The process.
    pub node: Node,
}

impl Worker {
    /// Starts the worker with this index, on ports assigned by the system.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot start.
    pub fn start(
        settings: &Settings,
        audit: &Audit,
        index: usize,
        fails_tasks: bool,
    ) -> anyhow::Result<Self> {
        let settings = settings.worker(index, fails_tasks);
        let handles = Handles { audit: audit.clone(), ..Handles::default() };
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

    /// Ends the worker and all its tasks abruptly.
    pub fn kill(&mut self) {
        // An immediate stop lets the stand-in record which tasks ended with it; a real machine that
        // fails could not do this.
        self.node.stop_immediately();
    }
}

//! The workers of a testbed under the naive scheduler.

use super::{Node, Settings, Worker};
use crate::naive;
use shallotflow_standin::audit::Audit;
use std::net::SocketAddr;

/// The processes of the baseline.
#[derive(Debug)]
pub struct Baseline {
    /// What the workers recorded, independently of the scheduler.
    pub audit: Audit,
    /// Address for callers.
    pub callers: SocketAddr,
    workers: Vec<Worker>,
    scheduler: Node,
}

impl Baseline {
    /// Starts the workers and the naive scheduler.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot start.
    pub fn start(settings: &Settings) -> anyhow::Result<Self> {
        let audit = Audit::default();
        let mut workers = Vec::new();
        for index in 0..settings.testbed.site.workers {
            workers.push(Worker::start(settings, &audit, index, false)?);
        }
        let slots = settings.testbed.capacity.slots;
        let address = |worker: &Worker| naive::Address {
            control: worker.control,
            target: worker.target,
            slots,
        };
        let addresses: Vec<_> = workers.iter().map(address).collect();
        let seed = settings.seed;
        let main = move |stop, ready| Box::pin(naive::run(addresses, seed, stop, ready)) as _;
        let (scheduler, bound) = Node::start::<naive::Bound>("naive", main)?;
        Ok(Self { audit, callers: bound.callers, workers, scheduler })
    }

    /// Stops every process gracefully.
    ///
    /// # Errors
    ///
    /// Fails when a process ended with an error.
    pub fn stop(mut self) -> anyhow::Result<()> {
        self.scheduler.stop()?;
        for worker in &mut self.workers {
            worker.node.stop()?;
        }
        Ok(())
    }
}

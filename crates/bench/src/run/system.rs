//! The processes under test.

use super::Policy;
use crate::cluster::{Baseline, Cluster, Settings};
use crate::fault::Controller;
use shallotflow_standin::audit::Audit;
use std::net::SocketAddr;
use std::time::Duration;

/// A scheduler with its workers.
#[derive(Debug)]
pub enum System {
    /// The scheduler.
    Ours(Box<Cluster>),
    /// The naive scheduler.
    Naive(Baseline),
}

impl System {
    /// Starts the processes that `policy` names.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot start.
    pub fn start(policy: Policy, settings: Settings) -> anyhow::Result<Self> {
        match policy {
            Policy::Naive => Ok(Self::Naive(Baseline::start(&settings)?)),
            _ => Ok(Self::Ours(Box::new(Cluster::start(settings)?))),
        }
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        match self {
            Self::Ours(cluster) => cluster.balancer.callers,
            Self::Naive(baseline) => baseline.callers,
        }
    }

    /// What the workers recorded, independently of the scheduler.
    pub fn audit(&self) -> Audit {
        match self {
            Self::Ours(cluster) => cluster.audit.clone(),
            Self::Naive(baseline) => baseline.audit.clone(),
        }
    }

    /// Begins and ends the faults that are due; the naive scheduler runs without faults.
    ///
    /// # Errors
    ///
    /// Fails when a replacement cannot start or a graceful stop fails.
    pub fn advance_faults(
        &mut self,
        controller: &mut Controller,
        elapsed: Duration,
    ) -> anyhow::Result<()> {
        match self {
            Self::Ours(cluster) => controller.advance(cluster, elapsed),
            Self::Naive(_) => Ok(()),
        }
    }

    /// Stops every process gracefully.
    ///
    /// # Errors
    ///
    /// Fails when a process ended with an error.
    pub fn stop(self) -> anyhow::Result<()> {
        match self {
            Self::Ours(cluster) => cluster.stop(),
            Self::Naive(baseline) => baseline.stop(),
        }
    }
}

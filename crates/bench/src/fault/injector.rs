//! Applies faults to the processes of a testbed.

use super::Scenario;
use crate::cluster::Cluster;
use std::time::Duration;

const SLOW_STORE: Duration = Duration::from_millis(400);
const LOST_SHARE: f64 = 0.3;

/// Applies faults to processes that it selects by the seed.
#[derive(Debug)]
pub struct Injector<'a> {
    /// The processes.
    pub cluster: &'a mut Cluster,
    /// Selects the processes that a fault affects.
    pub seed: u64,
}

impl Injector<'_> {
    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// Fails when a replacement cannot start or a graceful stop fails.
    pub fn begin(&mut self, scenario: Scenario) -> anyhow::Result<()> {
        let (entry, worker) = (self.entry(), self.worker());
        match scenario {
            Scenario::WorkerKill => self.cluster.kill_worker(worker),
            Scenario::AgentKill => self.cluster.agents[worker].node.kill(),
            Scenario::EntryKill => self.cluster.kill_entry(entry),
            Scenario::EntryPause => self.cluster.entries[entry].node.pause(true),
            Scenario::AgentPause => self.cluster.agents[worker].node.pause(true),
            Scenario::StoreDown => self.cluster.platform.faults.set_down(true),
            Scenario::StoreSlow => self.cluster.platform.faults.set_slow(SLOW_STORE),
            Scenario::StoreLostAnswers => {
                self.cluster.platform.faults.set_lost_answers(LOST_SHARE);
            }
            Scenario::LeaseLapse => self.cluster.platform.faults.expire_leases(),
            Scenario::BadWorker => {
                self.cluster.kill_worker(worker);
                self.cluster.replace_worker(worker, true)?;
            }
            Scenario::DrainAll => self.cluster.rolling_restart()?,
            Scenario::DomainCut => self.pause_domain(true),
            Scenario::NoisyWave
            | Scenario::CancelWave
            | Scenario::WrongSizes
            | Scenario::Stragglers
            | Scenario::ImpossibleJobs
            | Scenario::ConfigRace => {}
        }
        Ok(())
    }

    /// Ends a fault and replaces killed processes.
    ///
    /// # Errors
    ///
    /// Fails when a replacement cannot start.
    pub fn end(&mut self, scenario: Scenario) -> anyhow::Result<()> {
        let (entry, worker) = (self.entry(), self.worker());
        let faults = &self.cluster.platform.faults;
        match scenario {
            Scenario::WorkerKill => self.cluster.replace_worker(worker, false)?,
            Scenario::AgentKill => self.cluster.replace_agent(worker)?,
            Scenario::EntryKill => self.cluster.replace_entry(entry)?,
            Scenario::EntryPause => self.cluster.entries[entry].node.pause(false),
            Scenario::AgentPause => self.cluster.agents[worker].node.pause(false),
            Scenario::StoreDown => faults.set_down(false),
            Scenario::StoreSlow => faults.set_slow(Duration::ZERO),
            Scenario::StoreLostAnswers => faults.set_lost_answers(0.0),
            Scenario::LeaseLapse => faults.expire_leases(),
            Scenario::DomainCut => self.pause_domain(false),
            Scenario::BadWorker
            | Scenario::DrainAll
            | Scenario::NoisyWave
            | Scenario::CancelWave
            | Scenario::WrongSizes
            | Scenario::Stragglers
            | Scenario::ImpossibleJobs
            | Scenario::ConfigRace => {}
        }
        Ok(())
    }

    fn entry(&self) -> usize {
        self.seed as usize % self.cluster.entries.len()
    }

    fn worker(&self) -> usize {
        (self.seed as usize).wrapping_mul(7) % self.cluster.workers.len()
    }

    /// Freezes or resumes the agents and entries of one failure domain.
    fn pause_domain(&self, paused: bool) {
        let testbed = &self.cluster.settings().testbed;
        let domain = testbed.domain_of(self.entry());
        let inside = |index: &usize| testbed.domain_of(*index) == domain;
        for index in (0..self.cluster.agents.len()).filter(inside) {
            self.cluster.agents[index].node.pause(paused);
        }
        for index in (0..self.cluster.entries.len()).filter(inside) {
            self.cluster.entries[index].node.pause(paused);
        }
    }
}

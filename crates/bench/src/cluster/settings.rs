//! Settings of the processes of a run.

use crate::testbed::{Kind, Testbed};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::standin::{Disturbance, Profile};
use shallotflow_core::settings::{agent, entry, standin};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of all processes of a testbed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The testbed.
    pub testbed: Testbed,
    /// The seed of all random choices.
    pub seed: u64,
    /// How long an entry owns a ledger without renewing its lease at the store.
    pub owner_lease: Duration,
    /// How long a task may run after the report that last renewed its lease.
    pub task_lease: Duration,
    /// Time limit of a graceful stop.
    pub drain: Duration,
    /// The log filter of the processes.
    pub log: Name,
}

impl Settings {
    /// Settings for `testbed`, with the default leases and drain time.
    pub fn new(testbed: Testbed, seed: u64) -> Self {
        let defaults = entry::Settings::default();
        Self {
            testbed,
            seed,
            owner_lease: defaults.owner_lease,
            task_lease: defaults.task_lease,
            drain: defaults.drain,
            log: "off".into(),
        }
    }

    /// The settings of the entry with this index.
    pub(super) fn entry(&self, index: usize, store: SocketAddr) -> entry::Settings {
        entry::Settings {
            name: format!("entry-{}", index + 1).into(),
            domain: self.testbed.domain_of(index),
            store: vec![store],
            owner_lease: self.owner_lease,
            task_lease: self.task_lease,
            drain: self.drain,
            log: self.log.clone(),
            seed: self.seed.wrapping_add(index as u64),
            ..entry::Settings::default()
        }
    }

    /// The settings of the agent of the worker with this index.
    pub(super) fn agent(
        &self,
        index: usize,
        peers: SocketAddr,
        worker: &super::Worker,
    ) -> agent::Settings {
        agent::Settings {
            worker: worker_name(index),
            domain: self.testbed.domain_of(index),
            entries: vec![peers],
            target: worker.target,
            control: worker.control,
            drain: self.drain,
            log: self.log.clone(),
            seed: self.seed.wrapping_add(1_000 + index as u64),
            ..agent::Settings::default()
        }
    }

    /// The settings of the store.
    pub(super) fn store(&self) -> standin::Settings {
        let any_port = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        standin::Settings {
            store_listen: any_port,
            log: self.log.clone(),
            control_listen: None,
            target_listen: None,
            seed: self.seed,
            ..standin::Settings::default()
        }
    }

    /// The settings of the worker with this index.
    pub(super) fn worker(&self, index: usize, fails_tasks: bool) -> standin::Settings {
        let testbed = &self.testbed;
        standin::Settings {
            worker: worker_name(index),
            capacity: testbed.capacity,
            kinds: testbed.kind_names(),
            profiles: testbed.kinds.iter().map(profile).collect(),
            disturbances: self.disturbances(),
            report_lag: testbed.site.report_lag,
            drain: self.drain,
            log: self.log.clone(),
            fails_tasks,
            seed: self.seed.wrapping_add(2_000 + index as u64),
            ..standin::Settings::default()
        }
    }

    fn disturbances(&self) -> Vec<Disturbance> {
        let pairs = self.testbed.disturbances.iter();
        let pair = |pair: &crate::testbed::Disturbance| Disturbance {
            victim: pair.kind.clone(),
            neighbor: pair.neighbor.clone(),
            slowdown_milli: pair.slowdown_milli,
        };
        pairs.map(pair).collect()
    }
}

/// The name of the worker with this index.
pub(super) fn worker_name(index: usize) -> Name {
    format!("worker-{}", index + 1).into()
}

fn profile(kind: &Kind) -> Profile {
    Profile {
        kind: kind.name.clone(),
        median: kind.median,
        sigma_milli: kind.spread,
        straggler_permille: kind.straggler_share,
        straggler_factor: kind.straggler_factor,
        usage: Bundle { slots: 0, connections: 0, ..kind.resources },
    }
}

//! Begins and ends the faults of a run when they are due.

use super::shape::{BEGIN, END};
use super::{Scenario, Stage};
use crate::cluster::Cluster;
use std::time::Duration;

const PER_MILLE: u32 = 1_000;

/// The faults of one run, all within one window of time.
#[derive(Clone, Debug)]
pub struct Director {
    scenarios: Vec<Scenario>,
    begin: Duration,
    end: Duration,
    seed: u64,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Before,
    During,
    After,
}

impl Director {
    /// Faults of a run of length `run`.
    pub fn new(scenarios: Vec<Scenario>, run: Duration, seed: u64) -> Self {
        let (begin, end) = window(run);
        Self { scenarios, begin, end, seed, state: State::Before }
    }

    /// Begins and ends what is due at `elapsed`.
    ///
    /// # Errors
    ///
    /// Fails when a replacement cannot start or a graceful stop fails.
    pub fn direct(&mut self, cluster: &mut Cluster, elapsed: Duration) -> anyhow::Result<()> {
        let mut stage = Stage { cluster, seed: self.seed };
        if self.state == State::Before && elapsed >= self.begin {
            self.state = State::During;
            for scenario in &self.scenarios {
                stage.begin(*scenario)?;
            }
        }
        if self.state == State::During && elapsed >= self.end {
            self.state = State::After;
            for scenario in &self.scenarios {
                stage.end(*scenario)?;
            }
        }
        Ok(())
    }
}

/// When the faults of a run of length `run` begin and end.
pub fn window(run: Duration) -> (Duration, Duration) {
    (run * BEGIN / PER_MILLE, run * END / PER_MILLE)
}

//! Begins and ends the faults of a run when they are due.

use super::race::{ConfigReport, Race};
use super::shape::{BEGIN, END};
use super::{Injector, Scenario};
use crate::cluster::Cluster;
use std::time::Duration;

const PER_MILLE: u32 = 1_000;

/// The faults of one run, which all begin and end together.
#[derive(Debug)]
pub struct Controller {
    scenarios: Vec<Scenario>,
    begin: Duration,
    end: Duration,
    seed: u64,
    state: State,
    race: Option<Race>,
    report: ConfigReport,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Before,
    During,
    After,
}

impl Controller {
    /// Faults of a run of length `run`.
    pub fn new(scenarios: Vec<Scenario>, run: Duration, seed: u64) -> Self {
        let (begin, end) = window(run);
        let (state, report) = (State::Before, ConfigReport::default());
        Self { scenarios, begin, end, seed, state, race: None, report }
    }

    /// Begins and ends the faults that are due at `elapsed`.
    ///
    /// # Errors
    ///
    /// Fails when a replacement cannot start or a graceful stop fails.
    pub fn advance(&mut self, cluster: &mut Cluster, elapsed: Duration) -> anyhow::Result<()> {
        let mut injector = Injector { cluster, seed: self.seed };
        if self.state == State::Before && elapsed >= self.begin {
            self.state = State::During;
            for scenario in &self.scenarios {
                injector.begin(*scenario)?;
            }
            if self.scenarios.contains(&Scenario::ConfigRace) {
                self.race = Some(start_race(injector.cluster)?);
            }
        }
        if self.state == State::During && elapsed >= self.end {
            self.state = State::After;
            for scenario in &self.scenarios {
                injector.end(*scenario)?;
            }
            if let Some(race) = self.race.take() {
                self.report = race.end()?;
            }
        }
        Ok(())
    }

    /// The result of the configuration race; empty without one.
    pub fn report(&self) -> &ConfigReport {
        &self.report
    }
}

fn start_race(cluster: &Cluster) -> std::io::Result<Race> {
    let entries = cluster.entries.iter().map(|entry| entry.backend.peers).collect();
    Race::start(cluster.platform.address, entries)
}

/// Returns when the faults of a run of length `run` begin and end.
pub fn window(run: Duration) -> (Duration, Duration) {
    (run * BEGIN / PER_MILLE, run * END / PER_MILLE)
}

//! `faults`: runs every fault by itself, and a run without faults for comparison.

use crate::fault::{Scenario, Scenarios};
use crate::report;
use crate::report::Summary;
use crate::run::{Experiment, Policy, output};
use crate::testbed::Testbed;
use bpaf::Bpaf;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `faults`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seconds of load in each run
    #[bpaf(argument("N"), fallback(20))]
    pub seconds: u64,
    /// Seconds that jobs may take to end after the load
    #[bpaf(argument("N"), fallback(30))]
    pub settle: u64,
    /// Seed of the load and of the choice of affected processes
    #[bpaf(argument("S"), fallback(1))]
    pub seed: u64,
    /// Only these faults, comma-separated
    #[bpaf(argument("NAMES"), optional)]
    pub only: Option<Scenarios>,
    /// Random pairs of faults to run as well
    #[bpaf(argument("N"), fallback(2))]
    pub pairs: u64,
    /// Where to write the results as JSON
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"))]
    pub testbed: String,
}

impl Options {
    /// Runs every fault and prints violations and results next to those of the run without faults.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read or an experiment cannot be executed.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let testbed = Testbed::load(&self.testbed)?;
        let mut summaries = Vec::new();
        for faults in self.plan() {
            let names: Vec<_> = faults.iter().map(|scenario| scenario.as_str()).collect();
            let summary = self.experiment(&testbed, faults).execute()?.summary;
            let broken = summary.violations.describe();
            eprintln!("[{}] violations: {broken}", names.join(", "));
            summaries.push(summary);
        }
        output::json(self.json.as_deref(), &summaries)?;
        println!("{}", report::faults(&summaries));
        for note in summaries.iter().flat_map(|summary| &summary.notes) {
            println!("{note}");
        }
        let passed = summaries.iter().all(|summary: &Summary| summary.violations.total() == 0);
        Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    /// Returns the faults of each run; the first run has none.
    fn plan(&self) -> Vec<Vec<Scenario>> {
        let mut plan = vec![Vec::new()];
        let scenarios = match &self.only {
            Some(only) => only.0.clone(),
            None => Scenario::ALL.to_vec(),
        };
        plan.extend(scenarios.into_iter().map(|scenario| vec![scenario]));
        let mut rng = SmallRng::seed_from_u64(self.seed);
        plan.extend((0..self.pairs).map(|_| Scenario::pair(&mut rng).to_vec()));
        plan
    }

    fn experiment(&self, testbed: &Testbed, faults: Vec<Scenario>) -> Experiment {
        Experiment {
            testbed: testbed.clone(),
            run: Duration::from_secs(self.seconds),
            settle: Duration::from_secs(self.settle),
            seed: self.seed,
            policy: Policy::Ours,
            faults,
            log: "off".into(),
        }
    }
}

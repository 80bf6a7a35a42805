//! `compare`: compares the scheduler with its baselines and its performance targets.

use crate::report;
use crate::report::{Comparison, Round};
use crate::run::{Experiment, Findings, Policy, output};
use crate::testbed::Testbed;
use bpaf::Bpaf;
use shallotflow_core::class::Class;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `compare`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seeds to run, each under every policy
    #[bpaf(argument("N"), fallback(5))]
    pub seeds: u64,
    /// Seconds of load in each run
    #[bpaf(argument("N"), fallback(10))]
    pub seconds: u64,
    /// Seconds that jobs may take to end after the load
    #[bpaf(argument("N"), fallback(10))]
    pub settle: u64,
    /// Factor on the rate of jobs in the runs that measure batch throughput
    #[bpaf(argument("N"), fallback(5))]
    pub saturation: u32,
    /// Where to write the results as JSON
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"))]
    pub testbed: String,
}

impl Options {
    /// Runs every policy with every seed and prints a table with `pass` or `short` in each row.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read or an experiment cannot be executed.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let testbed = Testbed::load(&self.testbed)?;
        let mut rounds = Vec::new();
        for seed in 1..=self.seeds {
            eprintln!("seed {seed} of {}", self.seeds);
            rounds.push(self.round(&testbed, seed)?);
        }
        let comparison = Comparison::new(&testbed, rounds);
        println!("{}", report::comparison(&comparison));
        output::json(self.json.as_deref(), &comparison)?;
        let passed = comparison.violations().total() == 0;
        Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn round(&self, testbed: &Testbed, seed: u64) -> anyhow::Result<Round> {
        let ours = self.execute(testbed, Policy::Ours, seed)?.summary;
        let isolated = self.execute(testbed, Policy::Isolated, seed)?.summary;
        let naive = self.execute(testbed, Policy::Naive, seed)?.summary;
        let full = self.saturated(testbed);
        let saturated = self.execute(&full, Policy::Ours, seed)?;
        let naive_saturated = self.execute(&full, Policy::Naive, seed)?.summary;
        let batch_alone = self.execute(&full, Policy::Batch, seed)?.summary;
        let requests_slots = requests_slots(&saturated, self.seconds);
        let saturated = saturated.summary;
        Ok(Round { ours, isolated, naive, saturated, naive_saturated, batch_alone, requests_slots })
    }

    fn execute(&self, testbed: &Testbed, policy: Policy, seed: u64) -> anyhow::Result<Findings> {
        let experiment = Experiment {
            testbed: testbed.clone(),
            run: Duration::from_secs(self.seconds),
            settle: Duration::from_secs(self.settle),
            seed,
            policy,
            faults: Vec::new(),
            log: "off".into(),
        };
        experiment.execute()
    }

    /// The testbed with more jobs than its workers can run.
    fn saturated(&self, testbed: &Testbed) -> Testbed {
        let mut testbed = testbed.clone();
        let batch = testbed.kinds.iter_mut().filter(|kind| kind.class == Class::Batch);
        batch.for_each(|kind| kind.rate *= self.saturation);
        testbed
    }
}

/// Average number of slots occupied by quick requests and watchers, from their starts to ends.
fn requests_slots(findings: &Findings, seconds: u64) -> f64 {
    let service = |tally: &crate::load::tally::Tally| {
        let mean_us = tally.latency.mean() - tally.waited.mean();
        tally.done as f64 * mean_us.max(0.0) / 1e6
    };
    let total: f64 =
        findings.outcomes.requests.iter().map(|requests| service(&requests.tally)).sum();
    total / seconds as f64
}

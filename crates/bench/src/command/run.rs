//! `run`: runs the processes of a testbed under its load.

use crate::fault::Scenarios;
use crate::report;
use crate::run::{Experiment, Findings, Policy, output};
use crate::testbed::Testbed;
use bpaf::Bpaf;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `run`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seconds of load
    #[bpaf(argument("N"), fallback(10))]
    pub seconds: u64,
    /// Seconds that jobs may take to end after the load
    #[bpaf(argument("N"), fallback(20))]
    pub settle: u64,
    /// Seed of arrivals, service times and the processes' random choices
    #[bpaf(argument("S"), fallback(1))]
    pub seed: u64,
    /// `ours`, `naive`, `isolated` (`ours` without jobs) or `batch` (`ours` with jobs only)
    #[bpaf(argument("POLICY"), fallback(Policy::Ours))]
    pub policy: Policy,
    /// Names of faults, comma-separated
    #[bpaf(argument("NAMES"), fallback(Scenarios::default()))]
    pub faults: Scenarios,
    /// Log filter of the processes: a level, then `target=level` for single modules
    #[bpaf(argument("FILTER"), fallback("off".to_owned()))]
    pub log: String,
    /// Where to write the results as JSON
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Where to write a page with plots; runs the baselines as well
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"))]
    pub testbed: String,
}

impl Options {
    /// Runs the experiment and prints its results.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read or the experiment cannot be executed.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let experiment = Experiment {
            testbed: Testbed::load(&self.testbed)?,
            run: Duration::from_secs(self.seconds),
            settle: Duration::from_secs(self.settle),
            seed: self.seed,
            policy: self.policy,
            faults: self.faults.0,
            log: self.log.into(),
        };
        let findings = experiment.execute()?;
        println!("{}", report::summary(&findings.summary));
        for note in &findings.summary.notes {
            println!("{note}");
        }
        output::json(self.json.as_deref(), &findings.summary)?;
        if let Some(path) = &self.html {
            output::html(path, &page(&experiment, findings.clone())?)?;
        }
        Ok(output::exit_code(&findings.summary))
    }
}

/// Renders a page of `findings` together with the baselines for the same seed.
fn page(experiment: &Experiment, findings: Findings) -> anyhow::Result<String> {
    let mut runs = vec![findings];
    for policy in [Policy::Isolated, Policy::Naive] {
        let baseline = Experiment { policy, faults: Vec::new(), ..experiment.clone() };
        runs.push(baseline.execute()?);
    }
    Ok(report::page(&experiment.testbed, experiment.run, &runs)?)
}

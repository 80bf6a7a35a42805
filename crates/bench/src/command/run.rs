//! `run`: the processes of a floor under its load.

use crate::fault::Scenarios;
use crate::report;
use crate::run::{Experiment, Findings, Policy, output};
use crate::testbed::Testbed;
use bpaf::Bpaf;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// What to run, and for how long.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seconds of load
    #[bpaf(argument("N"), fallback(10))]
    pub seconds: u64,
    /// Seconds that jobs may take to end after that
    #[bpaf(argument("N"), fallback(20))]
    pub settle: u64,
    /// Seed of arrivals, service times and the processes' random choices
    #[bpaf(argument("S"), fallback(1))]
    pub seed: u64,
    /// `ours`, `naive`, or `isolated` or `batch` for one half of the load
    #[bpaf(argument("POLICY"), fallback(Policy::Ours))]
    pub policy: Policy,
    /// Faults by name, with commas between them
    #[bpaf(argument("NAMES"), fallback(Scenarios::default()))]
    pub faults: Scenarios,
    /// What the processes log: a level, then `target=level` for parts of them
    #[bpaf(argument("FILTER"), fallback("off".to_owned()))]
    pub log: String,
    /// Where to write the figures as JSON
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
    /// Runs the experiment and prints what it found.
    ///
    /// # Errors
    ///
    /// Fails when the floor cannot be read or the experiment cannot be carried out.
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

/// The page of `findings` beside the baselines with the same seed.
fn page(experiment: &Experiment, findings: Findings) -> anyhow::Result<String> {
    let mut runs = vec![findings];
    for policy in [Policy::Isolated, Policy::Naive] {
        let baseline = Experiment { policy, faults: Vec::new(), ..experiment.clone() };
        runs.push(baseline.execute()?);
    }
    Ok(report::page(&experiment.testbed, experiment.run, &runs)?)
}

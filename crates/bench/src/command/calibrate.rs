//! `calibrate`: measures the load generator against an echo server.

use crate::echo::Echo;
use crate::load::generator::{Running, Settings};
use crate::report;
use crate::report::Summary;
use crate::run::{display, output, summarize};
use crate::testbed::Testbed;
use bpaf::Bpaf;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `calibrate`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seconds of load
    #[bpaf(argument("N"), fallback(10))]
    pub seconds: u64,
    /// Seed of arrivals and service times
    #[bpaf(argument("S"), fallback(1))]
    pub seed: u64,
    /// Where to write the results as JSON
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"))]
    pub testbed: String,
}

impl Options {
    /// Runs the load and prints its results.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read or the echo server cannot start.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let testbed = Testbed::load(&self.testbed)?;
        let echo = Echo::start()?;
        let run = Duration::from_secs(self.seconds);
        let settings =
            Settings { address: echo.address, run, seed: self.seed, ..Settings::default() };
        let running = Running::start(&testbed, &settings)?;
        display::follow(&running, run, || Ok(()))?;
        let outcomes = running.join()?;
        echo.stop()?;
        let summary =
            Summary { policy: "echo".into(), ..summarize(&testbed, &settings, &outcomes) };
        println!("{}", report::summary(&summary));
        output::json(self.json.as_deref(), &summary)?;
        Ok(output::exit_code(&summary))
    }
}

//! Runs an entry from its settings.

use bpaf::Bpaf;
use shallotflow_entry::{Settings, run};
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::Stop;
use std::path::PathBuf;

/// Runs an entry of shallotflow.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The settings file
    #[bpaf(argument("FILE"))]
    config: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let Arguments { config } = arguments().run();
    let settings = Settings::load(&config)?;
    let stop = Stop::on_signals()?;
    executor::run(run(settings, stop, |_| {}))?
}

//! The `shallotflow-agent` program.

use bpaf::Bpaf;
use shallotflow_core::settings::agent::Settings;
use shallotflow_runtime::stop::Stop;
use std::path::PathBuf;

/// Takes requests and batch tasks for one worker
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The settings file
    #[bpaf(argument("FILE"))]
    config: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let settings = Settings::load(&arguments.config)?;
    let stop = Stop::on_signals()?;
    let running =
        shallotflow_agent::run(settings, stop, |bound| spdlog::info!("ready", kv: { bound:? }));
    shallotflow_runtime::executor::run(running)?
}

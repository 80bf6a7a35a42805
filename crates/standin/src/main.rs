//! The `shallotflow-standin` program.

use bpaf::Bpaf;
use shallotflow_core::settings::standin::Settings;
use shallotflow_runtime::stop::Stop;
use std::path::PathBuf;

/// Stands in for the platform: store, worker and target
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
        shallotflow_standin::run(settings, stop, |bound| spdlog::info!("ready", kv: { bound:? }));
    shallotflow_runtime::executor::run(running)?
}

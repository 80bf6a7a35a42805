//! Runs an entry from its settings.

use bpaf::Bpaf;
use shallotflow_entry::{Settings, run};
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::Stop;

/// Runs an entry of shallotflow.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {}

fn main() -> anyhow::Result<()> {
    let Arguments {} = arguments().run();
    let stop = Stop::on_signals()?;
    executor::run(run(Settings::default(), stop, |bound| println!("{bound:?}")))?
}

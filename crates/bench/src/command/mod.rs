//! The subcommands of the program, one a module.

pub mod calibrate;
pub mod run;

use bpaf::Bpaf;
use std::process::ExitCode;

/// Runs experiments on the scheduler.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Sends the load of a floor to an echo, to see what the generator itself adds
    #[bpaf(command)]
    Calibrate(#[bpaf(external(calibrate::options))] calibrate::Options),
    /// Runs the processes of a floor under its load; exits with 1 when a promise was broken
    #[bpaf(command)]
    Run(#[bpaf(external(run::options))] run::Options),
}

impl Command {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Fails when the experiment could not be carried out.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        match self {
            Self::Calibrate(options) => options.run(),
            Self::Run(options) => options.run(),
        }
    }
}

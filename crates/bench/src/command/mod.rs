//! The subcommands of the program, one per module.

pub mod calibrate;
pub mod compare;
pub mod direct;
pub mod faults;
pub mod peak;
pub mod run;
pub mod slopes;

use bpaf::Bpaf;
use std::process::ExitCode;

/// Runs experiments on the scheduler.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Sends the load of a testbed to an echo server, to measure what the generator itself adds
    #[bpaf(command)]
    Calibrate(#[bpaf(external(calibrate::options))] calibrate::Options),
    /// Compares the scheduler with its baselines and prints which targets it meets
    #[bpaf(command)]
    Compare(#[bpaf(external(compare::options))] compare::Options),
    /// Measures the latency that the entry and the agent add to a direct call
    #[bpaf(command)]
    Direct(#[bpaf(external(direct::options))] direct::Options),
    /// Runs every fault by itself, and a run without faults for comparison
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// Measures how many quick requests per second one entry forwards
    #[bpaf(command)]
    Peak(#[bpaf(external(peak::options))] peak::Options),
    /// Runs the processes of a testbed under its load; exits with 1 if a guarantee was violated
    #[bpaf(command)]
    Run(#[bpaf(external(run::options))] run::Options),
    /// Measures the resource use that each further agent, target and task adds
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::options))] slopes::Options),
}

impl Command {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Fails when the experiment cannot be executed.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        match self {
            Self::Calibrate(options) => options.run(),
            Self::Compare(options) => options.run(),
            Self::Direct(options) => options.run(),
            Self::Faults(options) => options.run(),
            Self::Peak(options) => options.run(),
            Self::Run(options) => options.run(),
            Self::Slopes(options) => options.run(),
        }
    }
}

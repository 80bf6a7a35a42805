//! The subcommands, one module each.

pub mod apply;
pub mod cancel;
pub mod check;
pub mod drain;
pub mod dump;
pub mod except;
pub mod graph;
pub mod jobs;
pub mod show;
pub mod status;
pub mod submit;
pub mod targets;

mod job;

use crate::answer::{Answer, Output};
use crate::error::Result;
use bpaf::Bpaf;

const FOOTER: &str = "Addresses that are not given are taken from SHALLOTFLOW_STORE, \
    SHALLOTFLOW_ENTRY and SHALLOTFLOW_PEERS, with commas between several.\n\
    Exit codes: 0 done, 1 failed, 2 refused, 3 conflict, 4 unknown whether applied, 5 not found.";

/// Operates shallotflow: its fleet configuration, its targets and its batch jobs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(FOOTER), generate(command))]
pub enum Command {
    /// Checks a configuration or settings file without writing anything
    #[bpaf(command)]
    Check(#[bpaf(external(check::arguments))] check::Arguments),
    /// Puts a fleet configuration in force
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::arguments))] apply::Arguments),
    /// Shows the fleet configuration in force, or the values for one subject
    #[bpaf(command)]
    Show(#[bpaf(external(show::arguments))] show::Arguments),
    /// Adds, lists or removes exceptions
    #[bpaf(command)]
    Except(#[bpaf(external(except::action))] except::Action),
    /// Lists the targets that entries know
    #[bpaf(command)]
    Targets(#[bpaf(external(targets::arguments))] targets::Arguments),
    /// Lists the batch jobs of entries' ledgers
    #[bpaf(command)]
    Jobs(#[bpaf(external(jobs::arguments))] jobs::Arguments),
    /// Makes a worker leave, or lets it come back
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::arguments))] drain::Arguments),
    /// Submits, shows, cancels or counts jobs of several tasks
    #[bpaf(command)]
    Graph(#[bpaf(external(graph::action))] graph::Action),
    /// Prints the state of a process
    #[bpaf(command)]
    Dump(#[bpaf(external(dump::arguments))] dump::Arguments),
    /// Submits a batch job
    #[bpaf(command)]
    Submit(#[bpaf(external(submit::arguments))] submit::Arguments),
    /// Shows a batch job
    #[bpaf(command)]
    Status(#[bpaf(external(status::arguments))] status::Arguments),
    /// Cancels a batch job
    #[bpaf(command)]
    Cancel(#[bpaf(external(cancel::arguments))] cancel::Arguments),
}

impl Command {
    /// The form of the output that was asked for.
    pub fn output(&self) -> Output {
        match self {
            Self::Check(arguments) => arguments.output,
            Self::Apply(arguments) => arguments.output,
            Self::Show(arguments) => arguments.output,
            Self::Except(action) => action.output(),
            Self::Targets(arguments) => arguments.output,
            Self::Jobs(arguments) => arguments.output,
            Self::Drain(arguments) => arguments.output,
            Self::Graph(action) => action.output(),
            Self::Dump(arguments) => arguments.output,
            Self::Submit(arguments) => arguments.output,
            Self::Status(arguments) => arguments.output,
            Self::Cancel(arguments) => arguments.output,
        }
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Each error names its remedy and has an exit code.
    pub async fn run(self) -> Result<Answer> {
        match self {
            Self::Check(arguments) => check::run(arguments),
            Self::Apply(arguments) => apply::run(arguments).await,
            Self::Show(arguments) => show::run(arguments).await,
            Self::Except(action) => except::run(action).await,
            Self::Targets(arguments) => targets::run(arguments).await,
            Self::Jobs(arguments) => jobs::run(arguments).await,
            Self::Drain(arguments) => drain::run(arguments).await,
            Self::Graph(action) => graph::run(action).await,
            Self::Dump(arguments) => dump::run(arguments).await,
            Self::Submit(arguments) => submit::run(arguments).await,
            Self::Status(arguments) => status::run(arguments).await,
            Self::Cancel(arguments) => cancel::run(arguments).await,
        }
    }
}

//! The subcommands, with one module for each.

pub mod apply;
pub mod cancel;
pub mod check;
pub mod delays;
pub mod drain;
pub mod dump;
pub mod evacuate;
pub mod except;
pub mod graph;
pub mod jobs;
pub mod show;
pub mod status;
pub mod submit;
pub mod targets;

mod job;

use crate::error::Result;
use crate::output::{Format, Output};
use bpaf::Bpaf;

const FOOTER: &str = "Addresses default to SHALLOTFLOW_STORE, SHALLOTFLOW_ENTRY and \
    SHALLOTFLOW_PEERS; several are separated by commas.\n\
    Exit codes: 0 done, 1 failed, 2 refused, 3 conflict, 4 outcome unknown, 5 not found, 6 \
    findings of check.";

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
    /// Shows the fleet configuration in force, or the values that apply to a subject
    #[bpaf(command)]
    Show(#[bpaf(external(show::arguments))] show::Arguments),
    /// Adds, lists or removes exceptions
    #[bpaf(command)]
    Except(#[bpaf(external(except::action))] except::Action),
    /// Lists the targets that entries know
    #[bpaf(command)]
    Targets(#[bpaf(external(targets::arguments))] targets::Arguments),
    /// Lists the batch jobs in the ledgers of entries
    #[bpaf(command)]
    Jobs(#[bpaf(external(jobs::arguments))] jobs::Arguments),
    /// Drains a worker, or ends its drain
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::arguments))] drain::Arguments),
    /// Evacuates a failure domain, or ends its evacuation
    #[bpaf(command)]
    Evacuate(#[bpaf(external(evacuate::arguments))] evacuate::Arguments),
    /// Submits, shows, cancels or counts jobs of several tasks
    #[bpaf(command)]
    Graph(#[bpaf(external(graph::action))] graph::Action),
    /// Prints the state of a process
    #[bpaf(command)]
    Dump(#[bpaf(external(dump::arguments))] dump::Arguments),
    /// Shows by queue from a log of entries why jobs ended late
    #[bpaf(command)]
    Delays(#[bpaf(external(delays::arguments))] delays::Arguments),
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
    /// The requested output format.
    pub fn format(&self) -> Format {
        match self {
            Self::Check(arguments) => arguments.format,
            Self::Apply(arguments) => arguments.format,
            Self::Show(arguments) => arguments.format,
            Self::Except(action) => action.format(),
            Self::Targets(arguments) => arguments.format,
            Self::Jobs(arguments) => arguments.format,
            Self::Drain(arguments) => arguments.format,
            Self::Evacuate(arguments) => arguments.format,
            Self::Graph(action) => action.format(),
            Self::Dump(arguments) => arguments.format,
            Self::Delays(arguments) => arguments.format,
            Self::Submit(arguments) => arguments.format,
            Self::Status(arguments) => arguments.format,
            Self::Cancel(arguments) => arguments.format,
        }
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns the error of the command; it names the remedy and has an exit code.
    pub async fn run(self) -> Result<Output> {
        match self {
            Self::Check(arguments) => check::run(arguments).await,
            Self::Apply(arguments) => apply::run(arguments).await,
            Self::Show(arguments) => show::run(arguments).await,
            Self::Except(action) => except::run(action).await,
            Self::Targets(arguments) => targets::run(arguments).await,
            Self::Jobs(arguments) => jobs::run(arguments).await,
            Self::Drain(arguments) => drain::run(arguments).await,
            Self::Evacuate(arguments) => evacuate::run(arguments).await,
            Self::Graph(action) => graph::run(action).await,
            Self::Dump(arguments) => dump::run(arguments).await,
            Self::Delays(arguments) => delays::run(arguments).await,
            Self::Submit(arguments) => submit::run(arguments).await,
            Self::Status(arguments) => status::run(arguments).await,
            Self::Cancel(arguments) => cancel::run(arguments).await,
        }
    }
}

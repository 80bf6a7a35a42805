//! `shallotflow drain WORKER`.

use super::except;
use crate::connect::{Endpoints, endpoints};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;

/// Arguments of `drain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Reason for the drain
    #[bpaf(argument("TEXT"))]
    reason: Option<String>,
    /// Author of the drain; the current user if not given
    #[bpaf(argument("NAME"))]
    author: Option<String>,
    /// Duration of the drain, such as 2h; until `drain --end` if not given
    #[bpaf(long("for"), argument("DURATION"))]
    duration: Option<String>,
    /// End the drain
    end: bool,
    /// Change identifier, to retry the same change
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Worker to drain
    #[bpaf(positional("WORKER"))]
    worker: String,
}

/// Adds or removes the exception that drains a worker.
///
/// # Errors
///
/// Fails if a drain has no reason.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let id = format!("drain-{}", arguments.worker);
    if arguments.end {
        return except::remove_by_id(&arguments.store, arguments.change, &id).await;
    }
    let drain = except::Drain {
        id: id.clone(),
        key: "worker",
        name: arguments.worker,
        noun: "a drain",
        reason: arguments.reason,
        author: arguments.author,
        duration: arguments.duration,
    };
    except::add_section(&arguments.store, arguments.change, &id, &drain.section()?).await
}

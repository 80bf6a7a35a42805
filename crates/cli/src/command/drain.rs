//! `shallotflow drain WORKER`.

use super::except;
use crate::connect::{Endpoints, endpoints, env};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use shallotflow_core::fleet::Exception;
use shallotflow_core::ini::codec::{Codec, Timestamp};

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
    let worker = &arguments.worker;
    let id = format!("drain-{worker}");
    if arguments.end {
        return except::remove_by_id(&arguments.store, arguments.change, &id).await;
    }
    let Some(reason) = &arguments.reason else {
        let message = "a drain needs a reason; give it with --reason TEXT";
        return Err(Error::Argument(message.to_owned()));
    };
    let mut lines = vec![
        format!("[{}]", Exception::header(&id)),
        format!("worker = {worker}"),
        "drain = true".to_owned(),
        format!("reason = {reason}"),
    ];
    let author = env::user(arguments.author);
    lines.extend(author.iter().map(|author| format!("author = {author}")));
    if let Some(duration) = &arguments.duration {
        lines.push(format!("expires = {}", Timestamp::print(&except::expiry(duration)?)));
    }
    let section = except::section(&lines)?;
    except::add_section(&arguments.store, arguments.change, &id, &section).await
}

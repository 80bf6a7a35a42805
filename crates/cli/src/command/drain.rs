//! `shallotflow drain WORKER`.

use super::except;
use crate::answer::{Answer, Output, output};
use crate::connect::{Endpoints, endpoints, variable};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use shallotflow_core::fleet::Exception;
use shallotflow_core::ini::codec::{Codec, Timestamp};

/// Arguments of `drain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Why it leaves
    #[bpaf(argument("TEXT"))]
    reason: Option<String>,
    /// Who makes it leave; you, if not given
    #[bpaf(argument("NAME"))]
    author: Option<String>,
    /// How long it stays away, such as 2h; without it, until `drain --end`
    #[bpaf(long("for"), argument("DURATION"))]
    lasts: Option<String>,
    /// Let it come back
    end: bool,
    /// Identifier of the change, to try the same change again
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// The worker
    #[bpaf(positional("WORKER"))]
    worker: String,
}

/// Adds or removes the exception that makes a worker leave.
///
/// # Errors
///
/// Refuses a drain without a reason.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
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
    let author = variable::user(arguments.author);
    lines.extend(author.iter().map(|author| format!("author = {author}")));
    if let Some(lasts) = &arguments.lasts {
        lines.push(format!("expires = {}", Timestamp::print(&except::expiry(lasts)?)));
    }
    let section = except::section(&lines)?;
    except::add_section(&arguments.store, arguments.change, &id, &section).await
}

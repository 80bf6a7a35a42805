//! `shallotflow except add ID KEY=VALUE...`.

use super::super::apply;
use super::super::show::unix_now_s;
use crate::change::{Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints, env};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use shallotflow_core::fleet::{Config, Exception};
use shallotflow_core::ini::codec::{Codec, Span, Timestamp};
use shallotflow_core::name::Name;

/// Arguments of `except add`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(add))]
pub struct Add {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Failure domain to which the exception applies
    #[bpaf(argument("DOMAIN"))]
    domain: Option<String>,
    /// Worker to which the exception applies
    #[bpaf(argument("WORKER"))]
    worker: Option<String>,
    /// Kind of work to which the exception applies
    #[bpaf(argument("KIND"))]
    kind: Option<String>,
    /// Caller to which the exception applies
    #[bpaf(argument("CALLER"))]
    caller: Option<String>,
    /// Reason for the exception
    #[bpaf(argument("TEXT"))]
    reason: String,
    /// Author of the exception; the current user if not given
    #[bpaf(argument("NAME"))]
    author: Option<String>,
    /// Duration of the exception, such as 2h; until it is removed if not given
    #[bpaf(long("for"), argument("DURATION"))]
    duration: Option<String>,
    /// Change identifier, to retry the same change
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Identifier of the exception
    #[bpaf(positional("ID"))]
    id: String,
    /// Values to override, as key=value
    #[bpaf(positional("KEY=VALUE"), some("give at least one value to override, as KEY=VALUE"))]
    values: Vec<String>,
}

/// Adds an exception.
///
/// # Errors
///
/// Fails before any write if the exception is invalid.
pub(super) async fn run(arguments: Add) -> Result<Output> {
    let section = arguments.section()?;
    add_section(&arguments.store, arguments.change, &arguments.id, &section).await
}

impl Add {
    /// Formats the configuration section of the new exception.
    fn section(&self) -> Result<String> {
        let mut lines = vec![format!("[{}]", Exception::header(&self.id))];
        let conditions = [
            ("domain", &self.domain),
            ("worker", &self.worker),
            ("kind", &self.kind),
            ("caller", &self.caller),
            ("author", &env::user(self.author.clone())),
        ];
        lines.extend(
            conditions
                .iter()
                .filter_map(|(key, value)| value.as_ref().map(|value| format!("{key} = {value}"))),
        );
        lines.push(format!("reason = {}", self.reason));
        if let Some(duration) = &self.duration {
            lines.push(format!("expires = {}", Timestamp::print(&expiry(duration)?)));
        }
        lines.extend(self.values.iter().map(|value| value.replacen('=', " = ", 1)));
        section(&lines)
    }
}

/// Joins the lines of a section; refuses line breaks, as one in a value would start another key.
pub(in crate::command) fn section(lines: &[String]) -> Result<String> {
    if let Some(line) = lines.iter().find(|line| line.contains(['\n', '\r'])) {
        return Err(Error::Argument(format!("{line:?} has a line break; write it on one line")));
    }
    Ok(format!("{}\n", lines.join("\n")))
}

/// The time, in Unix seconds, at which an exception of `duration` that starts now expires.
pub(in crate::command) fn expiry(duration: &str) -> Result<u64> {
    let invalid = || Error::Argument(format!("`{duration}` is not {}", Span::EXPECTED));
    let span = Span::parse(duration).ok_or_else(invalid)?;
    Ok(unix_now_s().saturating_add(span.as_secs().max(1)))
}

/// Appends the section of a new exception to the text.
pub(in crate::command) async fn add_section(
    store: &Endpoints,
    change: Option<String>,
    id: &str,
    section: &str,
) -> Result<Output> {
    // The section is parsed on its own first, so that errors give line numbers within it.
    Config::parse("exception", section)?;
    let client = store.client();
    let change = change.map_or_else(new_id, Name::from);
    let add = |current: &Current| {
        if current.config()?.exception(id).is_some() {
            let message = format!("exception `{id}` exists; remove it first, or use another id");
            return Err(Error::Argument(message));
        }
        let text = current.text.trim_end();
        let separator = if text.is_empty() { "" } else { "\n\n" };
        Ok(Edit::unmerged(format!("{text}{separator}{section}")))
    };
    let applied = Session::new(&client).change(change, add).await?;
    Ok(apply::output(&applied))
}

//! `shallotflow except add ID KEY=VALUE...`.

use super::super::apply;
use super::super::show::unix_now_s;
use crate::answer::{Answer, Output, output};
use crate::change::{Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints, variable};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use shallotflow_core::fleet::{Config, Exception};
use shallotflow_core::ini::codec::{Codec, Span, Timestamp};
use shallotflow_core::name::Name;

/// Arguments of `except add`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(add))]
pub struct Add {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Failure domain where it holds
    #[bpaf(argument("DOMAIN"))]
    domain: Option<String>,
    /// Worker for which it holds
    #[bpaf(argument("WORKER"))]
    worker: Option<String>,
    /// Kind of work for which it holds
    #[bpaf(argument("KIND"))]
    kind: Option<String>,
    /// Caller for which it holds
    #[bpaf(argument("CALLER"))]
    caller: Option<String>,
    /// Why it is needed
    #[bpaf(argument("TEXT"))]
    reason: String,
    /// Who adds it; you, if not given
    #[bpaf(argument("NAME"))]
    author: Option<String>,
    /// How long it holds, such as 2h; without it, until it is removed
    #[bpaf(long("for"), argument("DURATION"))]
    lasts: Option<String>,
    /// Identifier of the change, to try the same change again
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Identifier of the exception
    #[bpaf(positional("ID"))]
    id: String,
    /// Values that it overrides, as key=value
    #[bpaf(positional("KEY=VALUE"), some("give at least one value to override, as KEY=VALUE"))]
    values: Vec<String>,
}

/// Adds an exception.
///
/// # Errors
///
/// Refuses an invalid exception before any write.
pub(super) async fn run(arguments: Add) -> Result<Answer> {
    let section = arguments.section()?;
    add_section(&arguments.store, arguments.change, &arguments.id, &section).await
}

impl Add {
    /// The section of the new exception.
    fn section(&self) -> Result<String> {
        let mut lines = vec![format!("[{}]", Exception::header(&self.id))];
        let conditions = [
            ("domain", &self.domain),
            ("worker", &self.worker),
            ("kind", &self.kind),
            ("caller", &self.caller),
            ("author", &variable::user(self.author.clone())),
        ];
        lines.extend(
            conditions
                .iter()
                .filter_map(|(key, value)| value.as_ref().map(|value| format!("{key} = {value}"))),
        );
        lines.push(format!("reason = {}", self.reason));
        if let Some(lasts) = &self.lasts {
            lines.push(format!("expires = {}", Timestamp::print(&expiry(lasts)?)));
        }
        lines.extend(self.values.iter().map(|value| value.replacen('=', " = ", 1)));
        section(&lines)
    }
}

/// Joins the lines of one section; a line break within a value would start another key.
pub(in crate::command) fn section(lines: &[String]) -> Result<String> {
    if let Some(line) = lines.iter().find(|line| line.contains(['\n', '\r'])) {
        return Err(Error::Argument(format!("{line:?} has a line break; write it on one line")));
    }
    Ok(format!("{}\n", lines.join("\n")))
}

/// The moment at which something ends that lasts from now on.
pub(in crate::command) fn expiry(lasts: &str) -> Result<u64> {
    let refused = || Error::Argument(format!("`{lasts}` is not {}", Span::EXPECTED));
    let span = Span::parse(lasts).ok_or_else(refused)?;
    Ok(unix_now_s().saturating_add(span.as_secs().max(1)))
}

/// Adds the section of a new exception at the end of the text.
pub(in crate::command) async fn add_section(
    store: &Endpoints,
    change: Option<String>,
    id: &str,
    section: &str,
) -> Result<Answer> {
    // Checked alone first, so that the message has the line of the new section.
    Config::parse("exception", section)?;
    let client = store.client();
    let change = change.map_or_else(new_id, Name::from);
    let add = |current: &Current| {
        if current.config()?.exception(id).is_some() {
            let message = format!("exception `{id}` exists; remove it first, or use another id");
            return Err(Error::Argument(message));
        }
        let text = current.text.trim_end();
        let gap = if text.is_empty() { "" } else { "\n\n" };
        Ok(Edit::direct(format!("{text}{gap}{section}")))
    };
    let applied = Session::new(&client).change(change, add).await?;
    Ok(apply::answer(&applied))
}

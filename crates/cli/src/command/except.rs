//! `shallotflow except add|list|remove`.

use super::apply;
use super::show::unix_now_s;
use crate::answer::{Answer, Output, output};
use crate::change::{Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints, variable};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::{Config, Exception, Values};
use shallotflow_core::ini::Document;
use shallotflow_core::ini::codec::{Codec, Moment, Span};
use shallotflow_core::name::Name;

/// What to do with exceptions.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(action))]
pub enum Action {
    /// Adds an exception
    #[bpaf(command)]
    Add(#[bpaf(external(add))] Add),
    /// Lists the exceptions
    #[bpaf(command)]
    List(#[bpaf(external(list))] List),
    /// Removes an exception
    #[bpaf(command)]
    Remove(#[bpaf(external(remove))] Remove),
}

/// Arguments of `except add`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(add))]
pub struct Add {
    #[bpaf(external)]
    output: Output,
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

/// Arguments of `except list`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(list))]
pub struct List {
    #[bpaf(external)]
    output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
}

/// Arguments of `except remove`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(remove))]
pub struct Remove {
    #[bpaf(external)]
    output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Identifier of the change, to try the same change again
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Identifier of the exception
    #[bpaf(positional("ID"))]
    id: String,
}

impl Action {
    pub(super) fn output(&self) -> Output {
        match self {
            Self::Add(arguments) => arguments.output,
            Self::List(arguments) => arguments.output,
            Self::Remove(arguments) => arguments.output,
        }
    }
}

/// Carries out an action.
///
/// # Errors
///
/// Refuses an invalid exception before any write.
pub(super) async fn run(action: Action) -> Result<Answer> {
    match action {
        Action::Add(arguments) => {
            let section = arguments.section()?;
            add_section(&arguments.store, arguments.change, &arguments.id, &section).await
        }
        Action::List(arguments) => list_all(&arguments.store).await,
        Action::Remove(arguments) => {
            remove_by_id(&arguments.store, arguments.change, &arguments.id).await
        }
    }
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
            lines.push(format!("expires = {}", Moment::print(&expiry(lasts)?)));
        }
        lines.extend(self.values.iter().map(|value| value.replacen('=', " = ", 1)));
        section(&lines)
    }
}

/// Joins the lines of one section; a line break within a value would start another key.
pub(super) fn section(lines: &[String]) -> Result<String> {
    if let Some(line) = lines.iter().find(|line| line.contains(['\n', '\r'])) {
        return Err(Error::Argument(format!("{line:?} has a line break; write it on one line")));
    }
    Ok(format!("{}\n", lines.join("\n")))
}

/// The moment at which something ends that lasts from now on.
pub(super) fn expiry(lasts: &str) -> Result<u64> {
    let refused = || Error::Argument(format!("`{lasts}` is not {}", Span::EXPECTED));
    let span = Span::parse(lasts).ok_or_else(refused)?;
    Ok(unix_now_s().saturating_add(span.as_secs().max(1)))
}

/// Adds the section of a new exception at the end of the text.
pub(super) async fn add_section(
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

/// Removes the section of an exception from the text.
pub(super) async fn remove_by_id(
    store: &Endpoints,
    change: Option<String>,
    id: &str,
) -> Result<Answer> {
    let client = store.client();
    let change = change.map_or_else(new_id, Name::from);
    let remove = |current: &Current| {
        let missing = || Error::NotFound(format!("no exception `{id}` exists; see `except list`"));
        without(&current.text, id)?.map(Edit::direct).ok_or_else(missing)
    };
    let applied = Session::new(&client).change(change, remove).await?;
    Ok(apply::answer(&applied))
}

/// `text` without the lines of one exception, `None` when it has no such exception.
fn without(text: &str, id: &str) -> Result<Option<String>> {
    let document = Document::parse(Current::SOURCE, text)?;
    let is_wanted = |name: &str| {
        let mut words = name.split_whitespace();
        words.next() == Some(Exception::SECTION) && words.next() == Some(id)
    };
    let Some(at) = document.sections.iter().position(|section| is_wanted(&section.name)) else {
        return Ok(None);
    };
    let first = document.sections[at].line as usize - 1;
    let next = document.sections.get(at + 1).map(|section| section.line as usize - 1);
    let lines: Vec<&str> = text.lines().collect();
    let rest = lines.get(next.unwrap_or(lines.len())..).unwrap_or_default();
    Ok(Some([&lines[..first], rest].concat().join("\n") + "\n"))
}

async fn list_all(store: &Endpoints) -> Result<Answer> {
    let client = store.client();
    let config = Session::new(&client).read().await?.config()?;
    let rows = config.exceptions.iter().map(|exception| row(exception, unix_now_s())).collect();
    let head = ["ID", "WHERE", "VALUES", "REASON", "AUTHOR", "EXPIRES"];
    Ok(Answer::table(&head, rows, "no exceptions", json!(config.exceptions)))
}

fn row(exception: &Exception, now: u64) -> Vec<String> {
    let condition = &exception.condition;
    let names = [
        ("domain", &condition.domain),
        ("worker", &condition.worker),
        ("kind", &condition.kind),
        ("caller", &condition.caller),
    ];
    let names = names.iter().filter_map(|(key, name)| Some(format!("{key}={}", name.as_ref()?)));
    let values = exception.overrides.iter().filter_map(|name| {
        let key = Values::TABLE.key("defaults", name)?;
        Some(format!("{name}={}", (key.print)(&exception.values)))
    });
    let expires = exception.expires_unix_s.map_or_else(String::new, |expires| {
        let ended = if exception.is_in_force(now) { "" } else { " (ended)" };
        format!("{}{ended}", Moment::print(&expires))
    });
    vec![
        exception.id.to_string(),
        names.collect::<Vec<_>>().join(" "),
        values.collect::<Vec<_>>().join(" "),
        exception.reason.to_string(),
        exception.author.as_deref().unwrap_or_default().to_owned(),
        expires,
    ]
}

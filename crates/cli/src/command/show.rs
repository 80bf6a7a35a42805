//! `shallotflow show`.

use crate::change::{Current, Session};
use crate::connect::{Endpoints, endpoints};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::{Config, Subject, Values};
use std::time::SystemTime;

/// Prefix of the comment line that names the base revision of a text.
const BASE_COMMENT: &str = "; revision ";

/// Arguments of `show`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    #[bpaf(external(selection))]
    selection: Selection,
}

/// The subject to resolve values for, if one is given.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(selection))]
struct Selection {
    /// Show the values for this failure domain
    #[bpaf(argument("DOMAIN"), fallback(String::new()))]
    domain: String,
    /// Show the values for this worker; requires its domain as well
    #[bpaf(argument("WORKER"), fallback(String::new()))]
    worker: String,
    /// Show the values for this kind of work
    #[bpaf(argument("KIND"), fallback(String::new()))]
    kind: String,
    /// Show the values for this caller
    #[bpaf(argument("CALLER"), fallback(String::new()))]
    caller: String,
}

impl Selection {
    fn is_given(&self) -> bool {
        [&self.domain, &self.worker, &self.kind, &self.caller].iter().any(|name| !name.is_empty())
    }
}

/// Shows the configuration.
///
/// # Errors
///
/// Fails if the store does not respond.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let store = arguments.store.client();
    let current = Session::new(&store).read().await?;
    if arguments.selection.is_given() {
        return Ok(resolved_values(&current.config()?, &arguments.selection));
    }
    Ok(full_text(&current))
}

/// Returns the base revision named in `text`.
pub(super) fn base_revision(text: &str) -> Option<i64> {
    text.lines().find_map(|line| line.strip_prefix(BASE_COMMENT)).and_then(|rest| rest.parse().ok())
}

/// Returns `text` without the comment lines that name the base revision.
pub(super) fn strip_base(text: &str) -> String {
    let lines = text.split_inclusive('\n').filter(|line| !line.starts_with(BASE_COMMENT));
    lines.collect()
}

/// Formats the text in force, unchanged even if it is invalid, so that it can be repaired.
fn full_text(current: &Current) -> Output {
    let revision = current.revision;
    let config = current.config().ok();
    let text = match &config {
        Some(config) if current.text.is_empty() => config.print(),
        _ => current.text.clone(),
    };
    Output {
        text: format!("{BASE_COMMENT}{revision}\n{}\n", text.trim_end()),
        json: json!({ "revision": revision, "text": text, "config": config }),
        exit_code: 0,
    }
}

fn resolved_values(config: &Config, selection: &Selection) -> Output {
    let Selection { domain, worker, kind, caller } = selection;
    let values = config.resolve(&Subject { domain, worker, kind, caller }, unix_now_s());
    Output { text: Values::TABLE.print(&values), json: json!(values), exit_code: 0 }
}

/// The current Unix time in seconds.
pub(super) fn unix_now_s() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

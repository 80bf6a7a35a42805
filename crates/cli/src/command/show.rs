//! `shallotflow show`.

use crate::answer::{Answer, Output, output};
use crate::change::{Current, Session};
use crate::connect::{Endpoints, endpoints};
use crate::error::Result;
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_core::fleet::{Config, Subject, Values};
use std::time::SystemTime;

/// Starts the comment that names the revision which a text is an edit of.
const BASE_COMMENT: &str = "; revision ";

/// Arguments of `show`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    #[bpaf(external(place))]
    place: Place,
}

/// What to resolve values for, if anything is named.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(place))]
struct Place {
    /// Show the values for this failure domain
    #[bpaf(argument("DOMAIN"), fallback(String::new()))]
    domain: String,
    /// Show the values for this worker; give its domain as well
    #[bpaf(argument("WORKER"), fallback(String::new()))]
    worker: String,
    /// Show the values for this kind of work
    #[bpaf(argument("KIND"), fallback(String::new()))]
    kind: String,
    /// Show the values for this caller
    #[bpaf(argument("CALLER"), fallback(String::new()))]
    caller: String,
}

impl Place {
    fn names_something(&self) -> bool {
        [&self.domain, &self.worker, &self.kind, &self.caller].iter().any(|name| !name.is_empty())
    }
}

/// Shows the configuration.
///
/// # Errors
///
/// Fails when the store does not answer.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
    let store = arguments.store.client();
    let current = Session::new(&store).read().await?;
    if arguments.place.names_something() {
        return Ok(resolved(&current.config()?, &arguments.place));
    }
    Ok(whole(&current))
}

/// The revision that `text` says it is an edit of.
pub(super) fn base(text: &str) -> Option<i64> {
    text.lines().find_map(|line| line.strip_prefix(BASE_COMMENT)).and_then(|rest| rest.parse().ok())
}

/// `text` without the lines that say what it is an edit of.
pub(super) fn without_base(text: &str) -> String {
    let kept = text.split_inclusive('\n').filter(|line| !line.starts_with(BASE_COMMENT));
    kept.collect()
}

/// The text in force; it is shown as it is, so that an invalid one can be mended.
fn whole(current: &Current) -> Answer {
    let revision = current.revision;
    let config = current.config().ok();
    let text = match &config {
        Some(config) if current.text.is_empty() => config.print(),
        _ => current.text.clone(),
    };
    Answer {
        text: format!("{BASE_COMMENT}{revision}\n{}\n", text.trim_end()),
        json: json!({ "revision": revision, "text": text, "config": config }),
    }
}

fn resolved(config: &Config, place: &Place) -> Answer {
    let Place { domain, worker, kind, caller } = place;
    let values = config.resolve(&Subject { domain, worker, kind, caller }, unix_now_s());
    Answer { text: Values::TABLE.print(&values), json: json!(values) }
}

/// Seconds since 1970.
pub(super) fn unix_now_s() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

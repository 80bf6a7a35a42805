//! Parses the head of a request.

use super::Result;
use http::HeaderMap;
use http::request::Parts;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_wire::header;
use std::time::Duration;

const RUN_PREFIX: &str = "/run/";
const DEFAULT_DEADLINE_MS: u64 = 2_000;
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// The parsed head of a request.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) kind: Name,
    pub(super) class: Class,
    pub(super) need: Bundle,
    pub(super) deadline: Time,
}

impl Head {
    pub(super) fn read(parts: &Parts, now: Time) -> Result<Self> {
        let Some(kind) = parts.uri.path().strip_prefix(RUN_PREFIX) else {
            let detail = format!("{} is not served here", parts.uri.path());
            return Err(Problem::not_run(Code::NotFound, detail));
        };
        if parts.method != http::Method::POST {
            let detail = format!("{} is not POST", parts.method);
            return Err(Problem::not_run(Code::MethodNotAllowed, detail));
        }
        let class = class(&parts.headers)?;
        let deadline = now.after(deadline(&parts.headers)?);
        Ok(Self { kind: kind.into(), class, need: need(&parts.headers, class)?, deadline })
    }
}

fn class(headers: &HeaderMap) -> Result<Class> {
    match text(headers, header::CLASS)? {
        None | Some("quick") => Ok(Class::Quick),
        Some("watch") => Ok(Class::Watch),
        Some(other) => Err(bad_header(header::CLASS, other, "quick or watch")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Duration> {
    let Some(text) = text(headers, header::DEADLINE_MS)? else {
        return Ok(Duration::from_millis(DEFAULT_DEADLINE_MS));
    };
    match text.parse() {
        Ok(millis @ 1..=MAX_DEADLINE_MS) => Ok(Duration::from_millis(millis)),
        _ => {
            let detail = format!("{} is {text:?}", header::DEADLINE_MS);
            Err(Problem::not_run(Code::BadDeadline, detail))
        }
    }
}

fn need(headers: &HeaderMap, class: Class) -> Result<Bundle> {
    let Some(text) = text(headers, Bundle::HEADER)? else { return Ok(minimum_need(class)) };
    let need: Bundle = text.parse().map_err(|error: shallotflow_core::resources::Error| {
        bad_header(Bundle::HEADER, text, &error.to_string())
    })?;
    Ok(need.max(&minimum_need(class)))
}

/// The resources that every request of `class` needs.
fn minimum_need(class: Class) -> Bundle {
    let slots = u32::from(class == Class::Quick);
    Bundle { slots, connections: 1, ..Bundle::default() }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad_header(name, "binary", "printable text"))?;
    Ok(Some(text.trim()))
}

fn bad_header(name: &str, value: &str, expected: &str) -> Problem {
    Problem::not_run(Code::BadHeader, format!("{name} is {value:?}; expected {expected}"))
}

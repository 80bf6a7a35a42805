//! What a caller asks for, read from the headers of its request.

use http::HeaderMap;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::resources::Bundle;
use shallotflow_wire::header;
use std::time::Duration;

const ANONYMOUS: &str = "anonymous";
const MAX_NAME_BYTES: usize = 64;

/// Why a header was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A header is given more than once.
    #[error("header {0} is given more than once; give it once")]
    Repeated(&'static str),
    /// A header is not text.
    #[error("header {0} is not ASCII text; correct it")]
    NotText(&'static str),
    /// A name is empty, too long or has other characters.
    #[error(
        "header {header} has {value:?}; use 1 to 64 letters, digits, dots, hyphens and underscores"
    )]
    BadName {
        /// The header.
        header: &'static str,
        /// Its value.
        value: String,
    },
    /// A choice is none of the accepted ones.
    #[error("header {header} has {value:?}; use {accepted}")]
    BadChoice {
        /// The header.
        header: &'static str,
        /// Its value.
        value: String,
        /// The accepted values.
        accepted: &'static str,
    },
    /// The deadline is not a number of milliseconds within the limit.
    #[error(
        "header {} has {value:?}; use whole milliseconds from 1 to {longest_ms}",
        header::DEADLINE_MS
    )]
    BadDeadline {
        /// The value of the header.
        value: String,
        /// The farthest deadline, milliseconds.
        longest_ms: u128,
    },
    /// The resources cannot be read.
    #[error("header {name}: {0}", name = header::RESOURCES)]
    BadResources(#[from] shallotflow_core::resources::Error),
    /// A request that asks for less than any request of its class needs.
    #[error("header {name} has {given}; a request of class {class} needs at least {least}", name = header::RESOURCES)]
    TooLittle {
        /// The class of work.
        class: Class,
        /// What is asked for.
        given: Bundle,
        /// What any request of the class needs.
        least: Bundle,
    },
}

/// The result of reading headers.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// The problem document for the caller.
    pub fn problem(&self) -> Problem {
        let code = match self {
            Self::BadDeadline { .. } => Code::BadDeadline,
            _ => Code::BadHeader,
        };
        Problem::not_run(code, self.to_string())
    }
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Who asks.
    pub caller: Name,
    /// The class of work.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What it needs.
    pub resources: Bundle,
    /// The time it may take, when the caller names one.
    pub within: Option<Duration>,
    /// The caller's identifier of the request.
    pub id: Option<Name>,
    /// How many entries it has crossed.
    pub hops: u32,
}

impl Ask {
    /// Whether it asks for no more than any request of its class.
    pub fn is_small(&self) -> bool {
        self.resources == least(self.class)
    }

    /// Reads the headers of a request whose deadline may be at most `longest` away.
    ///
    /// # Errors
    ///
    /// Fails at the first header that is not accepted.
    pub fn read(headers: &HeaderMap, longest: Duration) -> Result<Self> {
        let class = class(headers)?;
        Ok(Self {
            caller: name(headers, header::CALLER)?.unwrap_or_else(|| ANONYMOUS.into()),
            class,
            idempotent: idempotent(headers)?,
            resources: resources(headers, class)?,
            within: within(headers, longest)?,
            id: name(headers, header::REQUEST_ID)?,
            hops: hops(headers)?,
        })
    }
}

/// Reads a header that must be a name, if it is given.
///
/// # Errors
///
/// Fails when it is repeated or not a name.
pub(super) fn name(headers: &HeaderMap, header: &'static str) -> Result<Option<Name>> {
    let Some(value) = text(headers, header)? else { return Ok(None) };
    if is_name(value) {
        return Ok(Some(value.into()));
    }
    Err(Error::BadName { header, value: value.chars().take(MAX_NAME_BYTES).collect() })
}

/// Whether `value` can name a caller, a kind or a request.
pub(super) fn is_name(value: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !value.is_empty() && value.len() <= MAX_NAME_BYTES && value.bytes().all(allowed)
}

fn text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Error::Repeated(header));
    }
    let value = value.to_str().map_err(|_| Error::NotText(header))?;
    Ok(Some(value.trim()))
}

fn class(headers: &HeaderMap) -> Result<Class> {
    match text(headers, header::CLASS)? {
        None | Some("quick") => Ok(Class::Quick),
        Some("watch") => Ok(Class::Watch),
        Some(value) => Err(bad_choice(header::CLASS, value, "quick or watch")),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<bool> {
    match text(headers, header::IDEMPOTENT)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(value) => Err(bad_choice(header::IDEMPOTENT, value, "true or false")),
    }
}

fn hops(headers: &HeaderMap) -> Result<u32> {
    match text(headers, header::HOPS)? {
        None | Some("0") => Ok(0),
        Some("1") => Ok(1),
        Some(value) => Err(bad_choice(header::HOPS, value, "0 or 1")),
    }
}

fn resources(headers: &HeaderMap, class: Class) -> Result<Bundle> {
    let least = least(class);
    let Some(value) = text(headers, header::RESOURCES)? else { return Ok(least) };
    let given: Bundle = value.parse()?;
    if !given.holds(&least) {
        return Err(Error::TooLittle { class, given, least });
    }
    Ok(given)
}

/// What any request of `class` needs.
fn least(class: Class) -> Bundle {
    let slots = u32::from(class == Class::Quick);
    Bundle { slots, connections: 1, ..Bundle::default() }
}

fn within(headers: &HeaderMap, longest: Duration) -> Result<Option<Duration>> {
    let Some(value) = text(headers, header::DEADLINE_MS)? else { return Ok(None) };
    let within = value.parse().ok().map(Duration::from_millis);
    match within.filter(|within| !within.is_zero() && *within <= longest) {
        Some(within) => Ok(Some(within)),
        None => Err(Error::BadDeadline {
            value: value.chars().take(MAX_NAME_BYTES).collect(),
            longest_ms: longest.as_millis(),
        }),
    }
}

fn bad_choice(header: &'static str, value: &str, accepted: &'static str) -> Error {
    let value = value.chars().take(MAX_NAME_BYTES).collect();
    Error::BadChoice { header, value, accepted }
}

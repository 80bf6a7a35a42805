//! Options of a request, read from its headers.

use http::HeaderMap;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::resources::Bundle;
use shallotflow_wire::header;
use std::time::Duration;

const ANONYMOUS: &str = "anonymous";
const MAX_NAME_BYTES: usize = 64;

/// The reason why a header was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A header occurs more than once.
    #[error("header {0} is given more than once; give it once")]
    Repeated(&'static str),
    /// A header is not ASCII text.
    #[error("header {0} is not ASCII text; correct it")]
    NotText(&'static str),
    /// A name is empty, too long or has invalid characters.
    #[error(
        "header {header} has {value:?}; use 1 to 64 letters, digits, dots, hyphens and underscores"
    )]
    BadName {
        /// The header.
        header: &'static str,
        /// Its value.
        value: String,
    },
    /// The value is not one of the accepted values.
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
        /// The longest accepted deadline, in milliseconds.
        longest_ms: u128,
    },
    /// The resources cannot be parsed.
    #[error("header {name}: {0}", name = header::RESOURCES)]
    BadResources(#[from] shallotflow_core::resources::Error),
    /// The resources are less than the minimum for the class.
    #[error("header {name} has {given}; a request of class {class} needs at least {minimum}", name = header::RESOURCES)]
    BelowMinimum {
        /// The class of the request.
        class: Class,
        /// The requested resources.
        given: Bundle,
        /// The minimum for the class.
        minimum: Bundle,
    },
}

/// The result of reading headers.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Converts the error to a problem document for the caller.
    pub fn problem(&self) -> Problem {
        let code = match self {
            Self::BadDeadline { .. } => Code::BadDeadline,
            _ => Code::BadHeader,
        };
        Problem::not_run(code, self.to_string())
    }
}

/// The options of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Name of the caller; `anonymous` if the header is absent.
    pub caller: Name,
    /// The class of the request.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The resources that the request needs.
    pub resources: Bundle,
    /// The time until the deadline, if the caller gave one.
    pub timeout: Option<Duration>,
    /// The request identifier, if the caller gave one.
    pub id: Option<Name>,
    /// How many entries have relayed the request.
    pub hops: u32,
}

impl Options {
    /// Returns whether the request needs exactly the minimum of its class.
    pub fn is_minimal(&self) -> bool {
        self.resources == minimum(self.class)
    }

    /// Reads the headers of a request. Its deadline may be at most `longest_deadline` away.
    ///
    /// # Errors
    ///
    /// Fails at the first header that is invalid.
    pub fn read(headers: &HeaderMap, longest_deadline: Duration) -> Result<Self> {
        let class = class(headers)?;
        Ok(Self {
            caller: name(headers, header::CALLER)?.unwrap_or_else(|| ANONYMOUS.into()),
            class,
            idempotent: idempotent(headers)?,
            resources: resources(headers, class)?,
            timeout: timeout(headers, longest_deadline)?,
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
    let Some(value) = header_text(headers, header)? else { return Ok(None) };
    if is_name(value) {
        return Ok(Some(value.into()));
    }
    Err(Error::BadName { header, value: value.chars().take(MAX_NAME_BYTES).collect() })
}

/// Returns whether `value` is a valid name of a caller, a kind or a request.
pub(super) fn is_name(value: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !value.is_empty() && value.len() <= MAX_NAME_BYTES && value.bytes().all(allowed)
}

fn header_text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Error::Repeated(header));
    }
    let value = value.to_str().map_err(|_| Error::NotText(header))?;
    Ok(Some(value.trim()))
}

fn class(headers: &HeaderMap) -> Result<Class> {
    match header_text(headers, header::CLASS)? {
        None | Some("quick") => Ok(Class::Quick),
        Some("watch") => Ok(Class::Watch),
        Some(value) => Err(bad_choice(header::CLASS, value, "quick or watch")),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<bool> {
    match header_text(headers, header::IDEMPOTENT)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(value) => Err(bad_choice(header::IDEMPOTENT, value, "true or false")),
    }
}

fn hops(headers: &HeaderMap) -> Result<u32> {
    match header_text(headers, header::HOPS)? {
        None | Some("0") => Ok(0),
        Some("1") => Ok(1),
        Some(value) => Err(bad_choice(header::HOPS, value, "0 or 1")),
    }
}

fn resources(headers: &HeaderMap, class: Class) -> Result<Bundle> {
    let minimum = minimum(class);
    let Some(value) = header_text(headers, header::RESOURCES)? else { return Ok(minimum) };
    let given: Bundle = value.parse()?;
    if !given.holds(&minimum) {
        return Err(Error::BelowMinimum { class, given, minimum });
    }
    Ok(given)
}

/// Returns the minimum resources of a request of `class`.
fn minimum(class: Class) -> Bundle {
    let slots = u32::from(class == Class::Quick);
    Bundle { slots, connections: 1, ..Bundle::default() }
}

fn timeout(headers: &HeaderMap, longest_deadline: Duration) -> Result<Option<Duration>> {
    let Some(value) = header_text(headers, header::DEADLINE_MS)? else { return Ok(None) };
    let timeout = value.parse().ok().map(Duration::from_millis);
    match timeout.filter(|timeout| !timeout.is_zero() && *timeout <= longest_deadline) {
        Some(timeout) => Ok(Some(timeout)),
        None => Err(Error::BadDeadline {
            value: value.chars().take(MAX_NAME_BYTES).collect(),
            longest_ms: longest_deadline.as_millis(),
        }),
    }
}

fn bad_choice(header: &'static str, value: &str, accepted: &'static str) -> Error {
    let value = value.chars().take(MAX_NAME_BYTES).collect();
    Error::BadChoice { header, value, accepted }
}

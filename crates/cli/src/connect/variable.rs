//! Values from environment variables, where an argument is not given.

use shallotflow_core::ini::codec::{Address, Codec, List};
use std::net::SocketAddr;

/// `given`, or the addresses in the variable `name`; at least one.
///
/// # Errors
///
/// Names the option and the variable.
pub fn addresses(
    given: Vec<SocketAddr>,
    option: &str,
    name: &str,
) -> Result<Vec<SocketAddr>, String> {
    if !given.is_empty() {
        return Ok(given);
    }
    let text = std::env::var(name).unwrap_or_default();
    let listed = List::<Address>::parse(&text);
    let listed = listed.ok_or_else(|| format!("{name} has `{text}`; use ip:port,ip:port"))?;
    if listed.is_empty() {
        return Err(format!("no address is given; use {option} ADDRESS or set {name}"));
    }
    Ok(listed)
}

/// `given`, or the name of the user who runs the command.
pub fn user(given: Option<String>) -> Option<String> {
    given.or_else(|| std::env::var("USER").ok()).filter(|name| !name.is_empty())
}

/// Who submits: `given`, or the name of the user who runs the command.
///
/// # Errors
///
/// Names the option when there is neither.
pub fn caller(given: Option<String>) -> Result<String, String> {
    user(given).ok_or_else(|| "no caller is given; use --caller NAME".to_owned())
}

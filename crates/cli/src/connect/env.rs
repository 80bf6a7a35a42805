//! Defaults from environment variables for arguments that are not given.

use shallotflow_core::ini::codec::{Address, Codec, List};
use std::net::SocketAddr;

/// Returns `given`, or the addresses in the environment variable `name`; never empty.
///
/// # Errors
///
/// Fails if there is no address or the variable is malformed; names the option and the variable.
pub fn addresses(
    given: Vec<SocketAddr>,
    option: &str,
    name: &str,
) -> Result<Vec<SocketAddr>, String> {
    let addresses = optional_addresses(given, name)?;
    if addresses.is_empty() {
        return Err(format!("no address is given; use {option} ADDRESS or set {name}"));
    }
    Ok(addresses)
}

/// Returns `given`, or the addresses in the environment variable `name`, which may be unset.
///
/// # Errors
///
/// Fails if the variable is malformed; names it.
pub fn optional_addresses(given: Vec<SocketAddr>, name: &str) -> Result<Vec<SocketAddr>, String> {
    if !given.is_empty() {
        return Ok(given);
    }
    let text = std::env::var(name).unwrap_or_default();
    List::<Address>::parse(&text).ok_or_else(|| format!("{name} has `{text}`; use ip:port,ip:port"))
}

/// Returns `given`, or the name of the user who runs the command.
pub fn user(given: Option<String>) -> Option<String> {
    given.or_else(|| std::env::var("USER").ok()).filter(|name| !name.is_empty())
}

/// Returns the caller: `given`, or the name of the user who runs the command.
///
/// # Errors
///
/// Fails if neither is available; names the option.
pub fn caller(given: Option<String>) -> Result<String, String> {
    user(given).ok_or_else(|| "no caller is given; use --caller NAME".to_owned())
}

//! Change identifiers.

use shallotflow_core::name::Name;
use std::time::SystemTime;

/// Generates a unique identifier from the time in nanoseconds and the process id.
pub fn new_id() -> Name {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since.as_nanos(), std::process::id()).into()
}

//! Identifiers of changes.

use shallotflow_core::name::Name;
use std::time::SystemTime;

/// An identifier that no other command uses: the time in nanoseconds and the process.
pub fn new_id() -> Name {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since.as_nanos(), std::process::id()).into()
}

//! What the store holds.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `m/owner` | the owner of the table | the entry that claims it, by the key's revision, while the former owner is not there |
//! | `m/entry/NAME` | an entry that is there, under its lease | that entry; an owner by the revision of `m/owner` |
//! | `m/agents` | agents that may hold runs | the owner, by the revisions of this key and of `m/owner` |
//! | `j/job/ID` | a job as it was accepted | the accepting entry, if absent |
//! | `j/cancel/ID` | nothing; the job is cancelled | the entry that was asked |
//! | `r/rates` | how images disturb each other, as far as it was learned | the owner, along with other records |
//! | `p/ID` | a job's progress | the owner, by the revisions of this key and of `m/owner` |

use super::holder::{Holder, Presence};
use shallotflow_core::graph::Id;
use shallotflow_store::error::Result;
use shallotflow_store::store::Store;
use std::net::SocketAddr;

/// Prefix of what concerns membership.
pub const MEMBERSHIP: &str = "m/";
/// The owner of the table.
pub const OWNER: &str = "m/owner";
/// Prefix of the entries that are there.
pub const ENTRIES: &str = "m/entry/";
/// Agents that may hold runs.
pub const AGENTS: &str = "m/agents";
/// Prefix of what callers asked for.
pub const CALLERS: &str = "j/";
/// Prefix of the jobs.
pub const JOBS: &str = "j/job/";
/// Prefix of the cancels.
pub const CANCELS: &str = "j/cancel/";
/// How images disturb each other.
pub const RATES: &str = "r/rates";
/// Prefix of the progress of jobs.
pub const PROGRESS: &str = "p/";

/// The key of an entry that is there.
pub fn entry(name: &str) -> String {
    format!("{ENTRIES}{name}")
}

/// The key of a job.
pub fn job(id: Id) -> String {
    format!("{JOBS}{id}")
}

/// The key of a job's cancel.
pub fn cancel(id: Id) -> String {
    format!("{CANCELS}{id}")
}

/// The key of a job's progress.
pub fn progress(id: Id) -> String {
    format!("{PROGRESS}{id}")
}

/// Where the owner and the entries take calls.
///
/// # Errors
///
/// Fails when the store does not answer.
pub async fn addresses(store: &dyn Store) -> Result<(Option<SocketAddr>, Vec<SocketAddr>)> {
    let snapshot = store.range(MEMBERSHIP).await?;
    let mut owner = None;
    let mut entries = Vec::new();
    for pair in snapshot.pairs {
        if pair.key == OWNER {
            let holder = serde_json::from_slice::<Holder>(&pair.value).ok();
            owner = holder.filter(|holder| !holder.entry.is_empty()).map(|holder| holder.address);
        } else if pair.key.starts_with(ENTRIES) {
            entries.extend(serde_json::from_slice::<Presence>(&pair.value).map(|p| p.address));
        }
    }
    Ok((owner, entries))
}

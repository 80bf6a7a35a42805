//! The keys and values in the store.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `m/owner` | the owner of the table | the entry that claims it, by the key's revision, while the former owner is absent |
//! | `m/epoch` | the epoch of the last claim, for the case that another writer overwrites the owner | the claiming entry, along with `m/owner` |
//! | `m/entry/NAME` | the presence of an entry, under its lease | that entry; an owner by the revision of `m/owner` |
//! | `m/agents` | agents that may hold runs | the owner, by the revisions of this key and of `m/owner` |
//! | `j/job/ID` | a job as accepted | the accepting entry, if absent |
//! | `j/cancel/ID` | a marker that the job is cancelled | the entry that received the cancel |
//! | `r/rates` | the learned disturbance rates between images | the owner, along with other records |
//! | `p/ID` | a job's progress | the owner, by the revisions of this key and of `m/owner` |

use super::member::{Owner, Presence};
use shallotflow_core::graph::Id;
use shallotflow_store::error::Result;
use shallotflow_store::store::Store;
use std::net::SocketAddr;

/// Prefix of the membership keys.
pub const MEMBERSHIP: &str = "m/";
/// The owner of the table.
pub const OWNER: &str = "m/owner";
/// The epoch of the last claim.
pub const EPOCH: &str = "m/epoch";
/// Prefix of the presence of entries.
pub const ENTRIES: &str = "m/entry/";
/// The list of agents that may hold runs.
pub const AGENTS: &str = "m/agents";
/// Prefix of what callers requested: jobs and cancels.
pub const REQUESTS: &str = "j/";
/// Prefix of the jobs.
pub const JOBS: &str = "j/job/";
/// Prefix of the cancels.
pub const CANCELS: &str = "j/cancel/";
/// The disturbance rates between images.
pub const RATES: &str = "r/rates";
/// Prefix of the progress of jobs.
pub const PROGRESS: &str = "p/";

/// The key of an entry's presence.
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

/// Reads the addresses of the owner and of all entries.
///
/// # Errors
///
/// Fails when the store does not answer.
pub async fn addresses(store: &dyn Store) -> Result<(Option<SocketAddr>, Vec<SocketAddr>)> {
    let snapshot = store.range(MEMBERSHIP).await?;
    let mut owner = None;
    let mut entries = Vec::new();
    for pair in snapshot.pairs.rows() {
        if pair.key == OWNER {
            let stored = serde_json::from_slice::<Owner>(&pair.value).ok();
            owner = stored.filter(|owner| !owner.entry.is_empty()).map(|owner| owner.address);
        } else if pair.key.starts_with(ENTRIES) {
            entries.extend(serde_json::from_slice::<Presence>(&pair.value).map(|p| p.address));
        }
    }
    Ok((owner, entries))
}

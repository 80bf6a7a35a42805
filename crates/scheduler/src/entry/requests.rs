//! What callers have requested: the owner reads the jobs and cancels in the store, and watches them.
//!
//! A snapshot is applied as a whole, all jobs before all cancels, each job with its stored progress: the
//! store orders the pairs by their keys, and a job that the table has forgotten may still be stored.

use super::ownership::Ownership;
use super::{Entry, keys, own};
use crate::peers::unpack;
use foldhash::HashMap;
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::Progress;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::watch::Change;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The requests in the store, and the progress of their jobs.
pub(super) struct Requests {
    /// The revision from which on changes of the requests are to be watched.
    pub(super) revision: i64,
    /// Jobs and cancels.
    pairs: Vec<Pair>,
    progress: Vec<Pair>,
}

impl Requests {
    /// Returns the number of jobs and cancels.
    pub(super) fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Reads the requests.
    ///
    /// The progress is read first: of a job that is deleted meanwhile, the job is missing then, and not
    /// its progress, without which the job would start anew.
    pub(super) async fn read(entry: &Rc<Entry>) -> Result<Self, Error> {
        let progress = entry.store_call(entry.store.range(keys::PROGRESS)).await?.pairs;
        let requests = entry.store_call(entry.store.range(keys::REQUESTS)).await?;
        Ok(Self { revision: requests.revision, pairs: requests.pairs, progress })
    }

    /// Adds the jobs that the table does not hold, and applies all cancels.
    pub(super) fn apply(self, ownership: &mut Ownership, loading: bool) {
        let mut known_progress: HashMap<Id, Progress> = HashMap::default();
        let mut unreadable: BTreeSet<Id> = BTreeSet::new();
        for pair in self.progress {
            let Some(id) = id_of(&pair.key, keys::PROGRESS) else { continue };
            if ownership.table.job(id).is_some() {
                // The table is ahead of its records.
                continue;
            }
            ownership.progress_revisions.insert(id, pair.mod_revision);
            match unpack(&pair.value) {
                Ok(progress) => {
                    known_progress.insert(id, progress);
                }
                Err(error) => {
                    own::log_unreadable(&pair.key, &error);
                    unreadable.insert(id);
                }
            }
        }
        for pair in &self.pairs {
            // A job whose progress cannot be read may be partly done; it is left to a later version.
            if !id_of(&pair.key, keys::JOBS).is_some_and(|id| unreadable.contains(&id)) {
                apply_job(ownership, pair, &known_progress, loading);
            }
        }
        for pair in &self.pairs {
            apply_cancel(ownership, &pair.key);
        }
    }
}

fn id_of(key: &str, prefix: &str) -> Option<Id> {
    key.strip_prefix(prefix)?.parse().ok()
}

fn apply_job(
    ownership: &mut Ownership,
    pair: &Pair,
    stored_progress: &HashMap<Id, Progress>,
    loading: bool,
) {
    let Some(id) = id_of(&pair.key, keys::JOBS) else { return };
    if ownership.table.job(id).is_some() {
        // The entry that accepted the job has sent it already.
        return;
    }
    match unpack::<Job>(&pair.value) {
        Ok(job) => {
            // A predecessor cannot have known a job that was stored after the claim.
            let fresh = pair.create_revision > ownership.revision;
            let added =
                ownership.table.load(id, job, stored_progress.get(&id), fresh, Boottime.now());
            if added && !loading {
                let details = serde_json::json!({ "job": id.to_string(), "by": "store" });
                crate::log::decision("job heard", &details);
            }
        }
        Err(error) => own::log_unreadable(&pair.key, &error),
    }
}

fn apply_cancel(ownership: &mut Ownership, key: &str) {
    let Some(id) = id_of(key, keys::CANCELS) else { return };
    ownership.table.cancel(id, Boottime.now());
}

/// Watches the store for jobs and cancels while the ownership of `epoch` lasts.
pub(super) async fn watch(entry: Rc<Entry>, epoch: u64, revision: i64) {
    let mut revision = revision;
    while own::is_owner(&entry, epoch) {
        match watch_from(&entry, epoch, &mut revision).await {
            Ok(()) => return,
            Err(Error::Compacted { .. }) => match Requests::read(&entry).await {
                Ok(requests) => {
                    revision = requests.revision;
                    change(&entry, epoch, |ownership| requests.apply(ownership, false));
                }
                Err(error) => {
                    spdlog::debug!("requests not read", kv: { reason = error.to_string() });
                }
            },
            Err(error) => {
                spdlog::debug!("watch broke", kv: { reason = error.to_string() });
            }
        }
        monoio::time::sleep(entry.settings.store_pause).await;
    }
}

async fn watch_from(entry: &Rc<Entry>, epoch: u64, revision: &mut i64) -> Result<(), Error> {
    let mut watch = entry.store.watch(keys::REQUESTS, *revision + 1).await?;
    loop {
        let update = entry.store_call(watch.next()).await?;
        *revision = update.revision.max(*revision);
        let applied = change(entry, epoch, |ownership| {
            for change in update.changes {
                if let Change::Put(pair) = change {
                    apply_job(ownership, &pair, &HashMap::default(), false);
                    apply_cancel(ownership, &pair.key);
                }
            }
        });
        if !applied {
            return Ok(());
        }
    }
}

/// Changes the table by what callers have requested; returns `false` once the ownership of `epoch` has
/// ended.
fn change(entry: &Rc<Entry>, epoch: u64, change: impl FnOnce(&mut Ownership)) -> bool {
    let mut ownership = entry.ownership.borrow_mut();
    let Some(ownership) = ownership.as_mut().filter(|ownership| ownership.table.epoch() == epoch)
    else {
        return false;
    };
    change(ownership);
    entry.decision_due.notify(usize::MAX);
    true
}

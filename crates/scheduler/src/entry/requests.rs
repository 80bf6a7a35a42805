//! What callers have requested: the owner reads the jobs and cancels in the store, and watches them.
//!
//! A snapshot is applied as a whole, all jobs before all cancels, each job with its stored progress: the
//! store orders the pairs by their keys, and a job that the table has forgotten may still be stored.

use super::ownership::Ownership;
use super::{Entry, absence, keys, membership, own, stored};
use crate::peers::unpack;
use foldhash::HashMap;
use shallotflow_core::graph::Id;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::Progress;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::watch::{Change, Update};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The requests in the store, and the progress of their jobs.
pub(super) struct Requests {
    pub(super) position: Position,
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
        let position =
            Position { revision: requests.revision, is_whole: requests.pairs.is_whole() };
        let mut pairs = requests.pairs.into_rows();
        let is_whole = progress.is_whole();
        let mut progress = progress.into_rows();
        if !is_whole {
            let gone = read_missing(entry, &pairs, &mut progress).await?;
            pairs.retain(|pair| !gone.contains(&pair.key));
        }
        Ok(Self { position, pairs, progress })
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

/// Reads one by one the progress of the jobs for which `progress` has none: the store lists it in part.
/// Returns the keys of the jobs that were deleted meanwhile.
async fn read_missing(
    entry: &Rc<Entry>,
    pairs: &[Pair],
    progress: &mut Vec<Pair>,
) -> Result<BTreeSet<String>, Error> {
    let listed: BTreeSet<Id> =
        progress.iter().filter_map(|pair| id_of(&pair.key, keys::PROGRESS)).collect();
    let missing = pairs.iter().filter_map(|pair| id_of(&pair.key, keys::JOBS));
    let mut gone = BTreeSet::new();
    for id in missing.filter(|id| !listed.contains(id)) {
        match entry.store_call(entry.store.get(&keys::progress(id))).await? {
            Some(pair) => progress.push(pair),
            // The progress may have been deleted with its job since the job was read.
            None if entry.store_call(entry.store.get(&keys::job(id))).await?.is_none() => {
                gone.insert(keys::job(id));
            }
            None => {}
        }
    }
    Ok(gone)
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
    match stored::Job::decode(pair) {
        Ok(stored::Job { job, claim }) => {
            let fresh = claim == ownership.revision;
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

/// How far the requests were read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    /// The revision from which on changes of the requests are to be watched.
    revision: i64,
    /// Whether all requests up to there were read.
    is_whole: bool,
}

/// Watches the store for jobs and cancels while the ownership of `epoch` lasts. Requests that were not
/// all read are read again until they are.
pub(super) async fn watch(entry: Rc<Entry>, epoch: u64, mut position: Position) {
    while own::is_owner(&entry, epoch) {
        let result = if position.is_whole {
            watch_from(&entry, epoch, &mut position.revision).await
        } else {
            monoio::time::sleep(absence::REREAD_PAUSE).await;
            Err(Error::Compacted { oldest: position.revision })
        };
        match result {
            Ok(()) => return,
            Err(Error::Compacted { .. }) => match Requests::read(&entry).await {
                Ok(requests) => {
                    position = requests.position;
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
        if entry.claimed_revision().is_some_and(|claim| shows_later_claim(&update, claim)) {
            // The watch of the owner's record may be behind this one. A successor starts such jobs.
            membership::find_owner(entry).await?;
        }
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

/// Whether `update` holds a job that was stored under a later claim than `claim`.
fn shows_later_claim(update: &Update, claim: i64) -> bool {
    update.changes.iter().any(|change| match change {
        Change::Put(pair) if pair.key.starts_with(keys::JOBS) => {
            stored::Job::decode(pair).is_ok_and(|stored| stored.claim > claim)
        }
        _ => false,
    })
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

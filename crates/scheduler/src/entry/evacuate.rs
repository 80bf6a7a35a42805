//! The owner's view of the requests to evacuate failure domains.
//!
//! The owner reads the requests before it starts anything, and then follows them by a watch. After
//! each failure of the watch it reads them again: a key that the store then does not hold is a withdrawn
//! request.

use super::ownership::Ownership;
use super::{Entry, absence, own};
use shallotflow_core::list::Received;
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::evacuation_requests;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::store::Snapshot;
use shallotflow_store::watch::{Change, Update, Watch};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Reads the requests; `None` where they do not exist.
pub(super) async fn read(entry: &Rc<Entry>) -> Result<Option<Snapshot>, Error> {
    let Some(prefix) = &entry.settings.evacuation_prefix else { return Ok(None) };
    entry.store_call(entry.store.range(prefix)).await.map(Some)
}

/// Applies the requests that the store lists.
pub(super) fn put_all(entry: &Entry, ownership: &mut Ownership, listed: &Received<Pair>) {
    for pair in listed.rows() {
        put(entry, ownership, pair);
    }
}

/// Returns the domains of the known requests that the store does not hold any more.
async fn withdrawn(
    entry: &Rc<Entry>,
    prefix: &str,
    listed: &Received<Pair>,
) -> Result<BTreeSet<String>, Error> {
    let known: Vec<String> = {
        let ownership = entry.ownership.borrow();
        let known = ownership.iter().flat_map(|ownership| ownership.evacuation_requests.known());
        known.map(|domain| format!("{prefix}{domain}")).collect()
    };
    let absent = absence::absent(entry, listed, known).await?;
    Ok(absent.iter().filter_map(|key| key.strip_prefix(prefix)).map(str::to_owned).collect())
}

/// Brings the table up to date with the requests and the fleet configuration.
pub(super) fn apply(entry: &Entry, ownership: &mut Ownership) {
    let configured = entry.evacuated_by_configuration.borrow();
    let mut domains: BTreeMap<Name, i64> =
        configured.iter().map(|domain| (domain.clone(), 0)).collect();
    let requested = ownership.evacuation_requests.domains();
    domains.extend(requested.iter().map(|(domain, revision)| (domain.clone(), *revision)));
    super::meters::evacuated(domains.len());
    ownership.table.set_evacuated(domains, Boottime.now());
}

/// Follows the requests while the ownership of `epoch` lasts, from the change after `revision` on.
pub(super) async fn follow(entry: Rc<Entry>, epoch: u64, revision: i64) {
    let Some(prefix) = entry.settings.evacuation_prefix.clone() else { return };
    let mut next = Some(revision + 1);
    while own::is_owner(&entry, epoch) {
        match next {
            Some(revision) => {
                let reason = watch(&entry, epoch, &prefix, revision).await;
                if let Some(error) = reason {
                    spdlog::debug!("watch broke", kv: { reason = error.to_string() });
                    monoio::time::sleep(entry.settings.store_pause).await;
                }
                next = None;
            }
            None => {
                next = read_again(&entry, epoch, &prefix).await;
                if next.is_none() {
                    monoio::time::sleep(entry.settings.store_pause).await;
                }
            }
        }
    }
}

/// Reads the requests again. Returns the revision from which on they are watched, if the store
/// answered in time.
async fn read_again(entry: &Rc<Entry>, epoch: u64, prefix: &str) -> Option<i64> {
    let reading = async {
        let Some(snapshot) = read(entry).await? else { return Ok(None) };
        let withdrawn = withdrawn(entry, prefix, &snapshot.pairs).await?;
        Ok::<_, Error>(Some((snapshot, withdrawn)))
    };
    let reason = match monoio::time::timeout(entry.settings.evacuation_interval, reading).await {
        Ok(Ok(read)) => {
            let (snapshot, withdrawn) = read?;
            change(entry, epoch, |ownership| {
                let known: Vec<Name> = ownership.evacuation_requests.known().cloned().collect();
                let names = known.iter().map(|domain| &**domain);
                let present: Vec<&str> = names.filter(|name| !withdrawn.contains(*name)).collect();
                ownership.evacuation_requests.retain(&present);
                put_all(entry, ownership, &snapshot.pairs);
            });
            return Some(snapshot.revision + 1);
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "the store did not answer in time".to_owned(),
    };
    spdlog::debug!("evacuations not read", kv: { reason });
    None
}

/// Applies the changes from `revision` on; returns why the requests have to be read again, and
/// `None` if this is only due to the time that has passed.
async fn watch(entry: &Rc<Entry>, epoch: u64, prefix: &str, revision: i64) -> Option<Error> {
    let mut watch = match entry.store.watch(prefix, revision).await {
        Ok(watch) => watch,
        Err(error) => return Some(error),
    };
    loop {
        let update = match next(entry, &mut *watch).await? {
            Ok(update) => update,
            Err(error) => return Some(error),
        };
        let applied = change(entry, epoch, |ownership| {
            for change in &update.changes {
                match change {
                    Change::Put(pair) => put(entry, ownership, pair),
                    Change::Delete { key, .. } => {
                        if let Some(domain) = key.strip_prefix(prefix) {
                            ownership.evacuation_requests.withdraw(domain);
                        }
                    }
                }
            }
        });
        if !applied {
            return None;
        }
    }
}

/// Waits for the next changes; `None` once the requests have to be read again anyway.
async fn next(entry: &Rc<Entry>, watch: &mut dyn Watch) -> Option<Result<Update, Error>> {
    monoio::select! {
        update = entry.store_call(watch.next()) => Some(update),
        () = monoio::time::sleep(entry.settings.evacuation_interval) => None,
    }
}

/// Changes the requests and applies them. Returns `false` once the ownership of `epoch` has ended.
fn change(entry: &Entry, epoch: u64, change: impl FnOnce(&mut Ownership)) -> bool {
    let mut ownership = entry.ownership.borrow_mut();
    let Some(ownership) = ownership.as_mut().filter(|ownership| ownership.table.epoch() == epoch)
    else {
        return false;
    };
    let former = ownership.evacuation_requests.domains().clone();
    change(ownership);
    if *ownership.evacuation_requests.domains() != former {
        apply(entry, ownership);
        entry.decision_due.notify(usize::MAX);
    }
    true
}

/// Applies one request, and logs what is wrong with it.
fn put(entry: &Entry, ownership: &mut Ownership, pair: &Pair) {
    let Some(prefix) = &entry.settings.evacuation_prefix else { return };
    let Some(domain) = pair.key.strip_prefix(&**prefix) else { return };
    let result = ownership.evacuation_requests.put(domain, &pair.value, pair.mod_revision);
    if let Err(error) = result {
        let key = pair.key.as_str();
        let in_effect = matches!(error, evacuation_requests::Error::UnknownFields(_));
        spdlog::warn!("evacuation request", kv: { key, in_effect, reason = error.to_string() });
    }
}

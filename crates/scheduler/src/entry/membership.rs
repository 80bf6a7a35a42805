//! The entry's presence in the store, the presence of other entries and the owner of the table.

use super::member::{Owner, Presence};
use super::witnesses::Statement;
use super::{Entry, absence, keys};
use crate::peers::{Request, Response};
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::transaction::Transaction;
use shallotflow_store::watch::Change;
use std::rc::Rc;
use std::time::Duration;

/// Keeps the entry's presence in the store until the entry stops.
pub(super) async fn announce(entry: Rc<Entry>) {
    let mut lease = None;
    let mut lost = false;
    loop {
        if entry.stopping.get() {
            return;
        }
        match renew(&entry, &mut lease).await {
            Ok(()) => {
                if lost {
                    spdlog::info!("store regained");
                    lost = false;
                }
                monoio::time::sleep(entry.settings.renewal_interval).await;
            }
            Err(error) => {
                if !lost {
                    spdlog::warn!("store lost", kv: { reason = error.to_string() });
                    lost = true;
                }
                monoio::time::sleep(entry.settings.store_pause).await;
            }
        }
    }
}

async fn renew(entry: &Rc<Entry>, lease: &mut Option<i64>) -> Result<(), Error> {
    // The key may be missing although the lease is alive; the watch shows that.
    let registered = entry
        .view
        .borrow()
        .entries
        .get(&entry.name)
        .is_some_and(|presence| presence.process == entry.process);
    // The lease runs from the arrival of the call, which is later than this time.
    let sent = Boottime.now();
    if let (Some(id), true) = (*lease, registered) {
        match entry.store_call(entry.store.keep_alive(id)).await {
            Ok(()) => {
                entry.presence_renewed.set(sent);
                return Ok(());
            }
            Err(Error::LeaseGone { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    let key = keys::entry(&entry.name);
    let (granted, current) = futures_util::join!(
        entry.store_call(entry.store.grant(entry.settings.presence_lease)),
        entry.store_call(entry.store.get(&key))
    );
    let (id, current) = (granted?, current?);
    let presence = Presence {
        process: entry.process,
        address: entry.address,
        strength: entry.settings.strength,
    };
    let value = serde_json::to_vec(&presence).unwrap_or_default();
    // A delayed write of the presence must not replace a later one, since the lease of the former ends first.
    let revision = current.map_or(0, |pair| pair.mod_revision);
    let mut transaction =
        Transaction::default().written_by(&*key, revision).put_leased(&*key, value, id);
    // An owner whose presence has ended renews it only if nobody has claimed its table.
    if let Some(revision) = entry.claimed_revision() {
        transaction = transaction.written_by(keys::OWNER, revision);
    }
    match entry.commit(transaction).await {
        Ok(revision) => entry.presence_revision.set(revision),
        Err(error @ Error::NotApplied { .. }) => {
            find_owner(entry).await?;
            return Err(error);
        }
        Err(error) => return Err(error),
    }
    *lease = Some(id);
    entry.presence_renewed.set(sent);
    entry.view.borrow_mut().entries.insert(entry.name.clone(), presence);
    Ok(())
}

/// Reads the owner of the table; this entry gives the table up if another one owns it.
pub(super) async fn find_owner(entry: &Rc<Entry>) -> Result<(), Error> {
    if let Some(pair) = entry.store_call(entry.store.get(keys::OWNER)).await? {
        apply_owner(entry, &pair);
    }
    Ok(())
}

/// Watches the owner and the presence of entries until the process ends.
pub(super) async fn follow(entry: Rc<Entry>) {
    loop {
        if let Err(error) = watch(&entry).await {
            spdlog::debug!("membership unknown", kv: { reason = error.to_string() });
        }
        monoio::time::sleep(entry.settings.store_pause).await;
    }
}

async fn watch(entry: &Rc<Entry>) -> Result<(), Error> {
    let snapshot = entry.store_call(entry.store.range(keys::MEMBERSHIP)).await?;
    let known: Vec<String> = {
        let view = entry.view.borrow();
        let names = view.entries.keys().chain(view.overwritten_entries.keys());
        names.map(|name| keys::entry(name)).collect()
    };
    let gone = absence::absent(entry, &snapshot.pairs, known).await?;
    {
        let mut view = entry.view.borrow_mut();
        let is_gone = |name: &Name| gone.contains(&keys::entry(name));
        let departed: Vec<Name> =
            view.entries.keys().filter(|name| is_gone(name)).cloned().collect();
        for name in departed {
            view.remove_entry(&name, Boottime.now());
        }
        view.overwritten_entries.retain(|name, _| !gone.contains(&keys::entry(name)));
    }
    for pair in snapshot.pairs.rows() {
        apply_pair(entry, pair);
    }
    entry.view.borrow_mut().loaded = true;
    entry.membership_changed.notify(usize::MAX);
    if !snapshot.pairs.is_whole() {
        monoio::time::sleep(absence::REREAD_PAUSE).await;
        return Ok(());
    }
    let mut watch = entry.store.watch(keys::MEMBERSHIP, snapshot.revision + 1).await?;
    loop {
        let update = entry.store_call(watch.next()).await;
        for change in update?.changes {
            match change {
                Change::Put(pair) => apply_pair(entry, &pair),
                Change::Delete { key, .. } => {
                    if let Some(name) = key.strip_prefix(keys::ENTRIES) {
                        let mut view = entry.view.borrow_mut();
                        view.remove_entry(name, Boottime.now());
                        view.overwritten_entries.remove(name);
                        drop(view);
                        crate::log::decision("entry gone", &name);
                    }
                }
            }
        }
        entry.membership_changed.notify(usize::MAX);
    }
}

/// Applies a record of the membership.
pub(super) fn apply_pair(entry: &Entry, pair: &Pair) {
    if pair.key == keys::OWNER {
        apply_owner(entry, pair);
    } else if let Some(name) = pair.key.strip_prefix(keys::ENTRIES) {
        match serde_json::from_slice::<Presence>(&pair.value) {
            // Another writer may leave what reads like this entry's own presence. Claims are conditional
            // on the revision that the entry wrote, so it has to write it again.
            Ok(_) if *name == *entry.name && pair.mod_revision > entry.presence_revision.get() => {
                entry.view.borrow_mut().entries.remove(name);
            }
            Ok(presence) => {
                let mut view = entry.view.borrow_mut();
                view.witnesses.note_presence(name);
                view.overwritten_entries.remove(name);
                view.entries.insert(name.into(), presence);
            }
            Err(error) => {
                let mut view = entry.view.borrow_mut();
                // An entry that misses its own presence writes it again.
                view.remove_entry(name, Boottime.now());
                view.observe_overwritten_entry(name.into(), pair.mod_revision, Boottime.now());
                crate::log::refused(&pair.key, &error);
            }
        }
    }
}

/// Applies the record of the owner's key.
pub(super) fn apply_owner(entry: &Entry, pair: &Pair) {
    match Owner::decode(pair) {
        Ok(owner) => entry.observe_owner(owner, pair.mod_revision),
        Err(error) => entry.observe_overwritten(pair.mod_revision, &error),
    }
}

/// Polls the owner's status until the process ends.
///
/// The request carries the age of this entry's last contact with the store and the highest epoch
/// that it knows, by which the owner detects that it is isolated or has been replaced.
pub(super) async fn poll_owner(entry: Rc<Entry>) {
    loop {
        monoio::time::sleep(entry.settings.status_interval).await;
        let Some(owner) = entry.owner_client() else { continue };
        let status = poll_status(&entry, &owner).await;
        let Some((epoch, owned, _)) = status else { continue };
        let now = Boottime.now();
        let mut view = entry.view.borrow_mut();
        let current = view.owner.as_ref().is_some_and(|owner| owner.epoch == epoch);
        view.disowned_since = (current && !owned).then(|| view.disowned_since.unwrap_or(now));
    }
}

/// Asks the other entries for their status while the store does not answer this owner, until the process
/// ends: one of them may claim the table.
pub(super) async fn poll_claimants(entry: Rc<Entry>) {
    loop {
        monoio::time::sleep(entry.settings.claimant_interval).await;
        let silent_from = entry.presence_renewed.get().after(entry.settings.renewal_interval * 2);
        if entry.ownership.borrow().is_none() || !silent_from.passed(Boottime.now()) {
            continue;
        }
        let claimants = entry.possible_claimants(&entry.view.borrow());
        for address in claimants.into_values() {
            let entry = entry.clone();
            monoio::spawn(async move { poll_status(&entry, &entry.client(address)).await });
        }
    }
}

/// Requests the status of `peer`: its epoch, whether it owns the table, and the milliseconds since
/// the store answered it; `None` without an answer.
pub(super) async fn poll_status(
    entry: &Rc<Entry>,
    peer: &crate::peers::Client,
) -> Option<(u64, bool, u64)> {
    let epoch = entry.view.borrow().owner.as_ref().map_or(0, |owner| owner.epoch);
    let request = Request::Status { epoch, store_age_ms: entry.store_age_ms() };
    let asked = Boottime.now();
    match peer.ask(&request, entry.settings.ask_limit).await {
        Ok(Response::Status { epoch, owned, store_age_ms, sizes, backlog, .. }) => {
            entry.observe_backlog(backlog);
            entry.observe_sizes(&sizes);
            record_store_contact(entry, store_age_ms);
            // Counted from the arrival of the answer, so that the contact may seem later, never earlier.
            let contact = Boottime.now().before(Duration::from_millis(store_age_ms));
            let contact = Some(contact).filter(|_| store_age_ms < u64::MAX);
            let statement = Statement { asked, owned, contact };
            entry.view.borrow_mut().witnesses.record(peer.address(), statement);
            Some((epoch, owned, store_age_ms))
        }
        Ok(_) => None,
        Err(error) => {
            spdlog::debug!("owner silent", kv: { reason = error.to_string() });
            None
        }
    }
}

/// Records when the store last answered another entry.
pub(super) fn record_store_contact(entry: &Rc<Entry>, store_age_ms: u64) {
    let now = Boottime.now();
    let mut view = entry.view.borrow_mut();
    let contact = now.before(Duration::from_millis(store_age_ms));
    view.others_store_contact = view.others_store_contact.max(contact);
    view.others_last_reachable = now;
}

//! The entry's presence at the store, and who is there beside it.

use super::Entry;
use super::holder::{Holder, Presence};
use super::keys;
use crate::peers::{Answer, Question};
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::transaction::Transaction;
use shallotflow_store::watch::Change;
use std::rc::Rc;

/// Keeps the entry's presence at the store, for ever.
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
                monoio::time::sleep(entry.settings.renewal).await;
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
    // The key may be gone though the lease is kept; the watch shows that.
    let announced = entry
        .known
        .borrow()
        .entries
        .get(&entry.name)
        .is_some_and(|presence| presence.process == entry.process);
    // The lease runs from the arrival of the call, which is later than this.
    let sent = Boottime.now();
    if let (Some(id), true) = (*lease, announced) {
        match entry.noted(entry.store.keep_alive(id)).await {
            Ok(()) => {
                entry.present.set(sent);
                return Ok(());
            }
            Err(Error::LeaseGone { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    let id = entry.noted(entry.store.grant(entry.settings.presence)).await?;
    let presence = Presence {
        process: entry.process,
        address: entry.address,
        strength: entry.settings.strength,
    };
    let value = serde_json::to_vec(&presence).unwrap_or_default();
    let mut transaction = Transaction::default().put_leased(keys::entry(&entry.name), value, id);
    // An owner that was away comes back as the owner only if nobody has claimed its table.
    let owned = entry.reign.borrow().as_ref().map(|reign| reign.revision);
    if let Some(revision) = owned {
        transaction = transaction.written_by(keys::OWNER, revision);
    }
    match entry.commit(transaction).await {
        Ok(_) => {}
        Err(error @ Error::NotApplied { .. }) => {
            find_owner(entry).await?;
            return Err(error);
        }
        Err(error) => return Err(error),
    }
    *lease = Some(id);
    entry.present.set(sent);
    entry.known.borrow_mut().entries.insert(entry.name.clone(), presence);
    Ok(())
}

/// Reads who owns the table; this entry gives its own up if it is another one.
async fn find_owner(entry: &Rc<Entry>) -> Result<(), Error> {
    if let Some(pair) = entry.noted(entry.store.get(keys::OWNER)).await? {
        take(entry, &pair);
    }
    Ok(())
}

/// Follows who owns the table and who is there, for ever.
pub(super) async fn follow(entry: Rc<Entry>) {
    loop {
        if let Err(error) = watch(&entry).await {
            spdlog::debug!("membership unknown", kv: { reason = error.to_string() });
        }
        monoio::time::sleep(entry.settings.store_pause).await;
    }
}

async fn watch(entry: &Rc<Entry>) -> Result<(), Error> {
    let snapshot = entry.noted(entry.store.range(keys::MEMBERSHIP)).await?;
    entry.known.borrow_mut().entries.clear();
    for pair in &snapshot.pairs {
        take(entry, pair);
    }
    entry.known.borrow_mut().read = true;
    entry.changed.notify(usize::MAX);
    let mut watch = entry.store.watch(keys::MEMBERSHIP, snapshot.revision + 1).await?;
    loop {
        let update = entry.noted(watch.next()).await;
        for change in update?.changes {
            match change {
                Change::Put(pair) => take(entry, &pair),
                Change::Delete { key, .. } => {
                    if let Some(name) = key.strip_prefix(keys::ENTRIES) {
                        entry.known.borrow_mut().entries.remove(name);
                        crate::log::decision("entry gone", &name);
                    }
                }
            }
        }
        entry.changed.notify(usize::MAX);
    }
}

fn take(entry: &Rc<Entry>, pair: &Pair) {
    if pair.key == keys::OWNER {
        match serde_json::from_slice::<Holder>(&pair.value) {
            Ok(holder) => entry.hear_of(holder),
            Err(error) => {
                spdlog::error!("owner unreadable", kv: { reason = error.to_string() });
            }
        }
    } else if let Some(name) = pair.key.strip_prefix(keys::ENTRIES) {
        match serde_json::from_slice::<Presence>(&pair.value) {
            Ok(presence) => {
                entry.known.borrow_mut().entries.insert(name.into(), presence);
            }
            Err(error) => {
                spdlog::error!("entry unreadable", kv: { name, reason = error.to_string() });
            }
        }
    }
}

/// Asks the owner how it stands, again and again.
///
/// The owner learns in turn whether the store answers others, and of later owners.
pub(super) async fn ask_owner(entry: Rc<Entry>) {
    loop {
        monoio::time::sleep(entry.settings.standing_interval).await;
        let Some(owner) = entry.owner() else { continue };
        let standing = ask(&entry, &owner).await;
        let Some((epoch, owned, _)) = standing else { continue };
        let now = Boottime.now();
        let mut known = entry.known.borrow_mut();
        let current = known.holder.as_ref().is_some_and(|holder| holder.epoch == epoch);
        known.disowned = (current && !owned).then(|| known.disowned.unwrap_or(now));
    }
}

/// Asks `peer` how it stands; `None` without an answer.
pub(super) async fn ask(
    entry: &Rc<Entry>,
    peer: &crate::peers::Client,
) -> Option<(u64, bool, u64)> {
    let epoch = entry.known.borrow().holder.as_ref().map_or(0, |holder| holder.epoch);
    let question = Question::Standing { epoch, store_age_ms: entry.store_age_ms() };
    match peer.ask(&question, entry.settings.ask_limit).await {
        Ok(Answer::Standing { epoch, owned, store_age_ms, sizes, .. }) => {
            entry.note_sizes(&sizes);
            note_standing(entry, store_age_ms);
            Some((epoch, owned, store_age_ms))
        }
        Ok(_) => None,
        Err(error) => {
            spdlog::debug!("owner silent", kv: { reason = error.to_string() });
            None
        }
    }
}

/// Notes how another entry stands with the store.
pub(super) fn note_standing(entry: &Rc<Entry>, store_age_ms: u64) {
    let now = Boottime.now();
    let mut known = entry.known.borrow_mut();
    let contact = now.before(std::time::Duration::from_millis(store_age_ms));
    known.others_contact = known.others_contact.max(contact);
    known.others_heard = now;
}

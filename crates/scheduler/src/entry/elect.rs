//! The election of the owner: claims the table and gives it up.
//!
//! The table has one owner at a time, by the revision of one key. A claim needs no waiting time:
//! workers refuse the orders of an owner with a lower epoch, and the store refuses its records. So
//! an entry claims as soon as the owner has given up, or as soon as the owner's presence has ended
//! and the owner either does not answer or has itself lost the store. The strongest machine claims
//! first.
//!
//! A claim succeeds only while the claimant's own presence is as it wrote it. A claim of an absent
//! owner's table succeeds only while that owner's presence is absent, and an owner renews an absent
//! presence only while its own claim holds. Where another process has the owner's name, a claim succeeds
//! only while the presence is not that of the owner's process. So an owner that is present has no
//! successor, unless it reports for a while that it does not own the table.
//!
//! A record of the owner that another writer has overwritten changes none of this. The owner that is
//! known gives the table up and claims it again, and another entry claims only where it could without
//! that. If no owner is known, an entry claims once every other entry that is present answers that it
//! does not own the table: no owner renews its presence beside the overwritten record.

use super::ground::Ground;
use super::member::{Owner, Presence};
use super::vacancy::Vacancy;
use super::{Entry, keys, member, membership, own};
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::transaction::Transaction;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks of the ownership.
const INTERVAL: Duration = Duration::from_millis(100);

/// Claims the table and gives it up as needed, until the process ends.
pub(super) async fn run(entry: Rc<Entry>) {
    loop {
        let changed = entry.membership_changed.listen();
        monoio::select! {
            _ = changed => {}
            () = monoio::time::sleep(INTERVAL) => {}
        }
        if entry.ownership.borrow().is_some() {
            check_ownership(&entry);
        } else if !entry.stopping.get()
            && let Some(vacancy) = find_vacancy(&entry).await
        {
            claim(&entry, &vacancy).await;
        }
    }
}

/// Gives the table up when this entry is isolated while other entries are not.
fn check_ownership(entry: &Rc<Entry>) {
    let now = Boottime.now();
    let contact = entry.store_contact.get();
    if now < contact.after(entry.settings.store_silence) {
        return;
    }
    let view = entry.view.borrow();
    let others = view.entries.len() > 1;
    let cut_off = entry.is_cut_off(&view);
    let others_reachable = now < view.others_last_reachable.after(entry.settings.store_silence);
    let alone =
        contact.after(entry.settings.isolation_limit).passed(now) && others && !others_reachable;
    drop(view);
    if cut_off {
        entry.give_up("the store answers other entries only");
    } else if alone {
        entry.give_up("neither the store nor another entry answers");
    }
}

/// Finds out whether the table has no owner, so that this entry may claim it.
async fn find_vacancy(entry: &Rc<Entry>) -> Option<Vacancy> {
    let now = Boottime.now();
    // Another entry would treat an owner without presence as absent and claim its table.
    if now < entry.claims_allowed_from.get() || !entry.is_present(now) {
        return None;
    }
    let (owner, revision, overwritten, present, disowned, rank) = {
        let view = entry.view.borrow();
        if !view.loaded || now > entry.store_contact.get().after(entry.settings.store_silence) {
            return None;
        }
        let owner = view.owner.clone();
        let present = owner.as_ref().is_some_and(|owner| view.is_present(owner));
        let disowned = view
            .disowned_since
            .is_some_and(|since| since.after(entry.settings.disowned_limit).passed(now));
        let own_rank = (Reverse(entry.settings.strength), &entry.name);
        let stronger = view
            .entries
            .iter()
            .filter(|(name, presence)| (Reverse(presence.strength), *name) < own_rank);
        let (revision, overwritten) = (view.owner_revision, view.owner_overwritten);
        (owner, revision, overwritten, present, disowned, stronger.count())
    };
    let Some(owner) = owner else {
        monoio::time::sleep(entry.settings.first_claim).await;
        stagger(entry, rank).await;
        if overwritten && !no_other_owns(entry).await {
            return None;
        }
        let vacancy = Vacancy { owner: None, revision, overwritten, ground: Ground::Unclaimed };
        return Some(vacancy).filter(|vacancy| vacancy.is_current(&entry.view.borrow()));
    };
    let ground = if owner.entry == entry.name {
        Ground::Own
    } else if owner.entry.is_empty() {
        Ground::Released
    } else if !present {
        Ground::Absent
    } else if disowned {
        Ground::Disowned
    } else {
        return None;
    };
    if matches!(ground, Ground::Absent | Ground::Disowned) {
        let client = entry.client(owner.address);
        let status = membership::poll_status(entry, &client).await;
        let max_age_ms =
            u64::try_from(entry.settings.store_silence.as_millis()).unwrap_or(u64::MAX);
        let healthy = status.is_some_and(|(epoch, owned, store_age_ms)| {
            owned && epoch == owner.epoch && store_age_ms < max_age_ms
        });
        if healthy {
            return None;
        }
    }
    if ground != Ground::Own {
        stagger(entry, rank).await;
    }
    let vacancy = Vacancy { owner: Some(owner), revision, overwritten, ground };
    Some(vacancy).filter(|vacancy| vacancy.is_current(&entry.view.borrow()))
}

/// Whether every other entry that is present answers that it does not own the table.
async fn no_other_owns(entry: &Rc<Entry>) -> bool {
    {
        let view = entry.view.borrow();
        let (limit, now) = (entry.settings.overwritten_limit, Boottime.now());
        let mut names = view.overwritten_entries.keys().filter(|name| **name != entry.name);
        if names.any(|name| view.absent_revision(name, limit, now).is_none()) {
            return false;
        }
    }
    for address in entry.others() {
        let status = membership::poll_status(entry, &entry.client(address)).await;
        if status.is_none_or(|(_, owned, _)| owned) {
            return false;
        }
    }
    true
}

/// Delays the claim by the entry's rank, so that most claims find the table already claimed.
async fn stagger(entry: &Rc<Entry>, rank: usize) {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(8);
    monoio::time::sleep(entry.settings.claim_stagger * rank).await;
}

async fn claim(entry: &Rc<Entry>, vacancy: &Vacancy) {
    if let Err(error) = try_claim(entry, vacancy).await {
        spdlog::warn!("claim failed", kv: { reason = error.to_string() });
        entry.give_up("the claim could not be completed");
        let pause = entry.settings.claim_pause;
        entry.claims_allowed_from.set(Boottime.now().after(pause));
    }
}

async fn try_claim(entry: &Rc<Entry>, vacancy: &Vacancy) -> Result<(), Error> {
    let current = entry.store_call(entry.store.get(keys::OWNER)).await?;
    if let Some(pair) = &current
        && pair.mod_revision != vacancy.revision
    {
        // The table has been claimed or released since it was found vacant. The view may show that already,
        // so it says nothing of the state that was checked.
        membership::apply_owner(entry, pair);
        return Ok(());
    }
    let absent_owner = match (vacancy.ground, &vacancy.owner) {
        (Ground::Absent, Some(owner)) => {
            let Some(revision) = absent_revision(entry, owner).await? else { return Ok(()) };
            Some((owner.entry.clone(), revision))
        }
        _ => None,
    };
    let known = vacancy.owner.as_ref().map_or(0, |owner| owner.epoch);
    let epoch = match &current {
        Some(pair) if vacancy.overwritten => last_epoch(entry, pair).await?.max(known),
        _ => known,
    };
    let revision = current.map_or(0, |pair| pair.mod_revision);
    let owner = Owner {
        epoch: epoch + 1,
        entry: entry.name.clone(),
        process: entry.process,
        address: entry.address,
    };
    let details = serde_json::json!({
        "epoch": owner.epoch, "vacancy": vacancy, "revision": revision, "while_absent": absent_owner,
    });
    crate::log::decision("claim", &details);
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    // An owner without presence would be replaced at once, and could replace its successor in turn.
    let mut transaction = Transaction::default()
        .written_by(keys::OWNER, revision)
        .written_by(keys::entry(&entry.name), entry.presence_revision.get())
        .put(keys::OWNER, value)
        .put(keys::EPOCH, owner.epoch.to_string());
    if let Some((name, revision)) = absent_owner {
        transaction = transaction.written_by(keys::entry(&name), revision);
    }
    // Another entry must not take the table for one that nobody owns until the claim is answered and loaded.
    entry.claimed.set(Some(revision));
    let result = complete(entry, &owner, transaction).await;
    entry.claimed.set(None);
    result
}

/// Commits the claim of `owner`, and loads the table if the claim was carried out.
async fn complete(entry: &Rc<Entry>, owner: &Owner, transaction: Transaction) -> Result<(), Error> {
    let revision = match entry.commit(transaction).await {
        Ok(revision) => revision,
        Err(Error::NotApplied { .. }) => return Ok(()),
        Err(error) if error.may_be_applied() => {
            let Some(revision) = read_claim(entry, owner).await? else { return Ok(()) };
            revision
        }
        Err(error) => return Err(error),
    };
    entry.claimed.set(Some(revision));
    entry.observe_owner(owner.clone(), revision);
    let loaded = own::load(entry, owner, revision).await;
    if loaded.is_err() {
        // Another entry may reach the store.
        own::release_claim(entry, owner.epoch, revision).await;
    }
    loaded
}

/// The revision of the owner's presence that shows its absence, 0 if there is none; `None` if the owner may be
/// present again.
async fn absent_revision(entry: &Rc<Entry>, owner: &Owner) -> Result<Option<i64>, Error> {
    {
        let view = entry.view.borrow();
        match view.entries.get(&owner.entry) {
            Some(presence) if presence.process == owner.process => return Ok(None),
            Some(_) => {}
            None => {
                // Before that limit, an owner that runs may still write its presence again.
                let limit = entry.settings.overwritten_limit;
                return Ok(view.absent_revision(&owner.entry, limit, Boottime.now()));
            }
        }
    }
    revision_without(entry, &owner.entry, owner.process).await
}

/// The revision of the presence of the entry `name`, unless it is that of `process`: the view may be older
/// than the claim of that process.
async fn revision_without(
    entry: &Rc<Entry>,
    name: &Name,
    process: u64,
) -> Result<Option<i64>, Error> {
    let Some(pair) = entry.store_call(entry.store.get(&keys::entry(name))).await? else {
        return Ok(Some(0));
    };
    let presence = serde_json::from_slice::<Presence>(&pair.value);
    if presence.is_ok_and(|presence| presence.process == process) {
        membership::apply_pair(entry, &pair);
        return Ok(None);
    }
    Ok(Some(pair.mod_revision))
}

/// An epoch that no claim before the record `overwritten` has exceeded.
///
/// The last claim has left its epoch in a second key. If that one cannot be read either, the revision
/// is taken: each claim has a revision that is not below its epoch. The second key comes first since
/// run numbers start from the epoch and do not reach far enough for the revisions of an old store.
async fn last_epoch(entry: &Rc<Entry>, overwritten: &Pair) -> Result<u64, Error> {
    let stored = entry.store_call(entry.store.get(keys::EPOCH)).await?;
    match stored.as_ref().map(member::decode_epoch) {
        Some(Ok(epoch)) => return Ok(epoch),
        Some(Err(error)) => crate::log::refused(keys::EPOCH, &error),
        None => {}
    }
    Ok(u64::try_from(overwritten.mod_revision).unwrap_or(0))
}

/// The revision of a claim whose answer was lost, if it was carried out.
async fn read_claim(entry: &Rc<Entry>, owner: &Owner) -> Result<Option<i64>, Error> {
    let pair = entry.store_call(entry.store.get(keys::OWNER)).await;
    let is_same =
        |value: &[u8]| serde_json::from_slice::<Owner>(value).is_ok_and(|stored| stored == *owner);
    Ok(pair?.filter(|pair| is_same(&pair.value)).map(|pair| pair.mod_revision))
}

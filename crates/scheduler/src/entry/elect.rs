//! When the table is claimed or given up.
//!
//! The table has one owner at a time by the revision of one key. A claim takes no waiting: workers
//! refuse the orders of an owner with a lower number, and the store refuses its records. So an
//! entry claims as soon as the owner has given up, or its presence has ended and it does not answer
//! or has itself lost the store. The strongest machine claims first.
//!
//! A claim because an owner is gone holds only while its presence is absent, and an owner renews an
//! absent presence only while its claim holds. So an owner that is present has no successor.

use super::holder::Holder;
use super::{Entry, keys, membership, own};
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::transaction::Transaction;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two looks at who owns the table.
const INTERVAL: Duration = Duration::from_millis(100);

/// Claims the table and gives it up as needed, for ever.
pub(super) async fn follow(entry: Rc<Entry>) {
    loop {
        let changed = entry.changed.listen();
        monoio::select! {
            _ = changed => {}
            () = monoio::time::sleep(INTERVAL) => {}
        }
        if entry.reign.borrow().is_some() {
            check(&entry);
        } else if !entry.stopping.get() && should_claim(&entry).await {
            claim(&entry).await;
        }
    }
}

/// Gives the table up when this entry is cut off while others are not.
fn check(entry: &Rc<Entry>) {
    let now = Boottime.now();
    let contact = entry.contact.get();
    if now < contact.after(entry.settings.store_quiet) {
        return;
    }
    let known = entry.known.borrow();
    let others = known.entries.len() > 1;
    let cut_off = entry.is_cut_off(&known);
    let heard = now < known.others_heard.after(entry.settings.store_quiet);
    let alone = contact.after(entry.settings.alone).passed(now) && others && !heard;
    drop(known);
    if cut_off {
        entry.give_up("the store answers other entries only");
    } else if alone {
        entry.give_up("neither the store nor another entry answers");
    }
}

async fn should_claim(entry: &Rc<Entry>) -> bool {
    let now = Boottime.now();
    // An owner that is not present itself is taken for gone by the next entry.
    if now < entry.claims_from.get() || !entry.is_present(now) {
        return false;
    }
    let (holder, present, rank) = {
        let known = entry.known.borrow();
        if !known.read || now > entry.contact.get().after(entry.settings.store_quiet) {
            return false;
        }
        let holder = known.holder.clone();
        let present = holder.as_ref().is_some_and(|holder| {
            known.entries.get(&holder.entry).is_some_and(|own| own.process == holder.process)
        });
        let disowned =
            known.disowned.is_some_and(|since| since.after(entry.settings.disowned).passed(now));
        let own = (Reverse(entry.settings.strength), &entry.name);
        let before = known
            .entries
            .iter()
            .filter(|(name, presence)| (Reverse(presence.strength), *name) < own);
        (holder, present && !disowned, before.count())
    };
    let Some(holder) = holder else {
        monoio::time::sleep(entry.settings.first_claim).await;
        stagger(entry, rank).await;
        return entry.known.borrow().holder.is_none();
    };
    let former_self = holder.entry == entry.name;
    if present && !former_self {
        return false;
    }
    if !holder.entry.is_empty() && !former_self {
        let owner = entry.client(holder.address);
        let standing = membership::ask(entry, &owner).await;
        let quiet = u64::try_from(entry.settings.store_quiet.as_millis()).unwrap_or(u64::MAX);
        let sound = standing.is_some_and(|(epoch, owned, store_age_ms)| {
            owned && epoch == holder.epoch && store_age_ms < quiet
        });
        if sound {
            return false;
        }
    }
    if !former_self {
        stagger(entry, rank).await;
    }
    let known = entry.known.borrow();
    known.holder.as_ref().is_some_and(|known| *known == holder)
}

/// Entries claim one after the other, so that most claims find the table taken.
async fn stagger(entry: &Rc<Entry>, rank: usize) {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(8);
    monoio::time::sleep(entry.settings.claim_stagger * rank).await;
}

async fn claim(entry: &Rc<Entry>) {
    if let Err(error) = try_claim(entry).await {
        spdlog::warn!("claim failed", kv: { reason = error.to_string() });
        entry.give_up("the claim could not be completed");
        let pause = entry.settings.claim_pause;
        entry.claims_from.set(Boottime.now().after(pause));
    }
}

async fn try_claim(entry: &Rc<Entry>) -> Result<(), Error> {
    let current = entry.noted(entry.store.get(keys::OWNER)).await?;
    let mut gone = None;
    let (epoch, revision) = match &current {
        None => (0, 0),
        Some(pair) => {
            let holder = serde_json::from_slice::<Holder>(&pair.value);
            let holder = holder.map_err(|error| Error::Rejected { reason: error.to_string() })?;
            // Only the owner that was found gone may be replaced.
            let seen = entry.known.borrow().holder.clone();
            if seen.is_some_and(|seen| seen != holder) {
                entry.hear_of(holder);
                return Ok(());
            }
            // Another process of its name, or one that says that it owns nothing, is there.
            let absent = !entry.known.borrow().entries.contains_key(&holder.entry);
            if absent && !holder.entry.is_empty() && holder.entry != entry.name {
                gone = Some(holder.entry.clone());
            }
            (holder.epoch, pair.mod_revision)
        }
    };
    let holder = Holder {
        epoch: epoch + 1,
        entry: entry.name.clone(),
        process: entry.process,
        address: entry.address,
    };
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let mut transaction =
        Transaction::default().written_by(keys::OWNER, revision).put(keys::OWNER, value);
    if let Some(gone) = gone {
        transaction = transaction.written_by(keys::entry(&gone), 0);
    }
    let revision = match entry.commit(transaction).await {
        Ok(revision) => revision,
        Err(Error::NotApplied { .. }) => return Ok(()),
        Err(error) if error.may_be_applied() => {
            let Some(revision) = read_claim(entry, &holder).await? else { return Ok(()) };
            revision
        }
        Err(error) => return Err(error),
    };
    entry.hear_of(holder.clone());
    let loaded = own::load(entry, &holder, revision).await;
    if loaded.is_err() {
        // Another entry may have more luck with the store.
        own::release_claim(entry, holder.epoch, revision).await;
    }
    loaded
}

/// The revision of a claim whose answer was lost, if it was carried out.
async fn read_claim(entry: &Rc<Entry>, holder: &Holder) -> Result<Option<i64>, Error> {
    let pair = entry.noted(entry.store.get(keys::OWNER)).await;
    let own = |value: &[u8]| {
        serde_json::from_slice::<Holder>(value).is_ok_and(|stored| stored == *holder)
    };
    Ok(pair?.filter(|pair| own(&pair.value)).map(|pair| pair.mod_revision))
}

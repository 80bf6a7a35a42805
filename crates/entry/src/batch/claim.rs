//! Claims and releases of ledgers.

use super::service::{Service, moment};
use crate::session::{Lease, keys};
use shallotflow_core::name::Name;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_policy::ledger::assignment;
use shallotflow_store::error::{Error, Result};
use shallotflow_store::pair::Pair;
use shallotflow_store::transaction::Transaction;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a release waits for changes to be written.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const RELEASE_POLL: Duration = Duration::from_millis(5);

/// Gives up ledgers of an ended lease, then claims and releases up to the even share.
pub(super) async fn run(service: &Rc<Service>) {
    let session = &service.session;
    let held = session.last_lease().map_or(0, |lease| lease.id);
    if service.claimed_under.replace(held) != held {
        drop_all(service);
    }
    let Some(lease) = session.lease(Monotonic.now()).filter(|_| session.is_informed()) else {
        return;
    };
    let plan = assignment::plan(
        session.name(),
        &session.entries(),
        &owners(service),
        service.settings.ledgers,
    );
    for ledger in plan.releases {
        release(service, ledger).await;
    }
    give_back_unwanted(service, lease, &plan.claims).await;
    for ledger in plan.claims {
        if let Err(error) = claim(service, ledger, lease).await {
            spdlog::warn!("ledger not claimed", kv: { ledger, error = error.to_string() });
            return;
        }
    }
}

/// Forgets every ledger.
pub(super) fn drop_all(service: &Service) {
    let owned: Vec<u32> = service.table.borrow().owned().map(|(ledger, _)| ledger).collect();
    for ledger in owned {
        spdlog::warn!("ledger given up with its lease", kv: { ledger });
        service.table.borrow_mut().close(ledger);
    }
    service.wake();
}

/// Forgets a ledger that has another owner.
pub(super) fn drop_one(service: &Service, ledger: u32, epoch: u64) {
    let owned = service.table.borrow().owned().any(|owned| owned == (ledger, epoch));
    if owned {
        spdlog::warn!("ledger has another owner", kv: { ledger, epoch });
        service.table.borrow_mut().close(ledger);
    }
    service.wake();
}

/// The owners as the plan needs them: this entry owns only what it has in its table. A key that it
/// wrote without learning so counts as none; the claim then finds it.
fn owners(service: &Service) -> BTreeMap<u32, Name> {
    let table = service.table.borrow();
    let mine: Vec<u32> = table.owned().map(|(ledger, _)| ledger).collect();
    let me = service.session.name();
    let name = |ledger: u32| {
        if mine.contains(&ledger) {
            return Some(me.clone());
        }
        let owner = service.session.owner(ledger)?;
        (owner.name != *me).then_some(owner.name)
    };
    (0..service.settings.ledgers).filter_map(|ledger| Some((ledger, name(ledger)?))).collect()
}

/// Becomes the owner of a ledger without one, and takes over its jobs.
async fn claim(service: &Rc<Service>, ledger: u32, lease: Lease) -> Result<()> {
    let Some(epoch) = take_key(service, ledger, lease).await? else { return Ok(()) };
    let store = service.session.store();
    let snapshot = store.range(&keys::segments(ledger)).await;
    let snapshot = match snapshot {
        Ok(snapshot) => snapshot,
        Err(error) => {
            give_back(service, ledger, epoch).await;
            return Err(error);
        }
    };
    let segments: Vec<(u64, String)> = snapshot.pairs.into_iter().filter_map(segment).collect();
    let still_held = service.session.last_lease().is_some_and(|held| held.id == lease.id);
    if !still_held {
        return Ok(());
    }
    let opened = service.table.borrow_mut().open(ledger, epoch, &segments, moment());
    if let Err(error) = opened {
        spdlog::error!("ledger cannot be read", kv: { ledger, error = error.to_string() });
        give_back(service, ledger, epoch).await;
        return Ok(());
    }
    spdlog::info!("ledger claimed", kv: { ledger, epoch, segments = segments.len() });
    service.start_writer(ledger, epoch);
    Ok(())
}

/// Creates the owner's key; returns the epoch, or nothing when another entry was faster.
async fn take_key(service: &Service, ledger: u32, lease: Lease) -> Result<Option<u64>> {
    let key = keys::owner(ledger);
    let name = service.session.name().as_bytes();
    let transaction =
        Transaction::default().created_by(key.clone(), 0).put_leased(key.clone(), name, lease.id);
    let store = service.session.store();
    match store.commit(transaction).await {
        Ok(revision) => Ok(Some(epoch(revision))),
        Err(Error::NotApplied { .. } | Error::Unknown { .. }) => {
            let pair = store.get(&key).await?;
            let mine = pair.filter(|pair| pair.lease == lease.id);
            Ok(mine.map(|pair| epoch(pair.create_revision)))
        }
        Err(error) => Err(error),
    }
}

/// Hands a ledger over: stops acting as its owner, then deletes the owner's key.
///
/// Waits a little for changes to be written. Those that are not by then are lost to this entry, and
/// whoever waits for one hears that its fate is unknown; agents report theirs to the next owner.
async fn release(service: &Service, ledger: u32) {
    let owned = service.table.borrow().owned().find(|(owned, _)| *owned == ledger);
    let Some((_, epoch)) = owned else { return };
    let deadline = Monotonic.now().after(RELEASE_TIMEOUT);
    while is_writing(service, ledger) && !deadline.passed(Monotonic.now()) {
        monoio::time::sleep(RELEASE_POLL).await;
    }
    service.table.borrow_mut().close(ledger);
    service.wake();
    spdlog::info!("ledger released", kv: { ledger, epoch });
    give_back(service, ledger, epoch).await;
}

/// Deletes the keys of ledgers that were released or claimed without learning the result.
async fn give_back_unwanted(service: &Service, lease: Lease, wanted: &[u32]) {
    for ledger in 0..service.settings.ledgers {
        let Some(owner) = service.session.owner(ledger) else { continue };
        let owned = service.table.borrow().owned().any(|(owned, _)| owned == ledger);
        if owner.lease == lease.id && !owned && !wanted.contains(&ledger) {
            give_back(service, ledger, owner.epoch).await;
        }
    }
}

fn is_writing(service: &Service, ledger: u32) -> bool {
    service.table.borrow().is_writing_ledger(ledger)
}

async fn give_back(service: &Service, ledger: u32, epoch: u64) {
    let key = keys::owner(ledger);
    let revision = i64::try_from(epoch).unwrap_or(i64::MAX);
    let transaction = Transaction::default().created_by(key.clone(), revision).delete(key);
    match service.session.store().commit(transaction).await {
        Ok(_) | Err(Error::NotApplied { .. }) => {}
        Err(error) => {
            spdlog::warn!("ledger not given back", kv: { ledger, error = error.to_string() });
        }
    }
}

fn segment(pair: Pair) -> Option<(u64, String)> {
    let sequence = keys::parse_segment(&pair.key)?;
    Some((sequence, String::from_utf8_lossy(&pair.value).into_owned()))
}

fn epoch(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or_default()
}

//! Claims ledgers without an owner and releases surplus ones.

use super::service::{Service, read_clocks};
use crate::session::{Lease, keys};
use shallotflow_core::name::Name;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_policy::ledger::assignment;
use shallotflow_store::error::{Error, Result};
use shallotflow_store::pair::Pair;
use shallotflow_store::store::Snapshot;
use shallotflow_store::transaction::Transaction;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a release waits for pending changes to be written.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const RELEASE_POLL: Duration = Duration::from_millis(5);

/// Closes the ledgers of an expired lease, then claims or releases ledgers until this entry owns an
/// even share.
pub(super) async fn rebalance(service: &Rc<Service>) {
    let session = &service.session;
    let lease_id = session.last_lease().map_or(0, |lease| lease.id);
    if service.claim_lease_id.replace(lease_id) != lease_id {
        close_all(service);
    }
    let Some(lease) = session.lease(Monotonic.now()).filter(|_| session.is_synced()) else {
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
    delete_stale_owner_keys(service, lease, &plan.claims).await;
    for ledger in plan.claims {
        if let Err(error) = claim(service, ledger, lease).await {
            spdlog::warn!("ledger not claimed", kv: { ledger, error = error.to_string() });
            return;
        }
    }
}

/// Closes every ledger and wakes all tasks that wait for a commit.
pub(super) fn close_all(service: &Service) {
    let owned: Vec<u32> = service.table.borrow().owned().map(|(ledger, _)| ledger).collect();
    for ledger in owned {
        spdlog::warn!("ledger given up with its lease", kv: { ledger });
        service.table.borrow_mut().close(ledger);
    }
    service.wake();
}

/// Closes a ledger that this entry no longer owns, unless it has been reclaimed under a new epoch.
pub(super) fn close_superseded(service: &Service, ledger: u32, epoch: u64) {
    let owned = service.table.borrow().owned().any(|owned| owned == (ledger, epoch));
    if owned {
        spdlog::warn!("ledger has another owner", kv: { ledger, epoch });
        service.table.borrow_mut().close(ledger);
    }
    service.wake();
}

/// Returns the owners as input for the assignment plan.
///
/// This entry counts as an owner only of the ledgers in its table. An owner key that it wrote
/// without receiving the confirmation counts as absent; the next claim then finds the key.
fn owners(service: &Service) -> BTreeMap<u32, Name> {
    let table = service.table.borrow();
    let owned: Vec<u32> = table.owned().map(|(ledger, _)| ledger).collect();
    let own_name = service.session.name();
    let name = |ledger: u32| {
        if owned.contains(&ledger) {
            return Some(own_name.clone());
        }
        let owner = service.session.owner(ledger)?;
        (owner.name != *own_name).then_some(owner.name)
    };
    (0..service.settings.ledgers).filter_map(|ledger| Some((ledger, name(ledger)?))).collect()
}

/// Becomes the owner of a ledger that has none, and loads its jobs from the segments.
async fn claim(service: &Rc<Service>, ledger: u32, lease: Lease) -> Result<()> {
    let Some(epoch) = create_owner_key(service, ledger, lease).await? else { return Ok(()) };
    let store = service.session.store();
    // A ledger without one of its segments would lose the jobs in it.
    let segments = store.range(&keys::segments(ledger)).await.and_then(Snapshot::whole);
    let segments = match segments {
        Ok(segments) => segments,
        Err(error) => {
            delete_owner_key(service, ledger, epoch).await;
            return Err(error);
        }
    };
    let segments: Vec<(u64, String)> =
        segments.into_rows().into_iter().filter_map(parse_segment).collect();
    let still_held = service.session.last_lease().is_some_and(|held| held.id == lease.id);
    if !still_held {
        return Ok(());
    }
    let opened = service.table.borrow_mut().open(ledger, epoch, &segments, read_clocks());
    if let Err(error) = opened {
        spdlog::error!("ledger cannot be read", kv: { ledger, error = error.to_string() });
        delete_owner_key(service, ledger, epoch).await;
        return Ok(());
    }
    spdlog::info!("ledger claimed", kv: { ledger, epoch, segments = segments.len() });
    service.start_writer(ledger, epoch);
    Ok(())
}

/// Creates the owner key of `ledger`. Returns the epoch, or `None` if another entry owns the
/// ledger.
async fn create_owner_key(service: &Service, ledger: u32, lease: Lease) -> Result<Option<u64>> {
    let key = keys::owner(ledger);
    let name = service.session.name().as_bytes();
    let transaction =
        Transaction::default().created_by(key.clone(), 0).put_leased(key.clone(), name, lease.id);
    let store = service.session.store();
    match store.commit(transaction).await {
        Ok(revision) => Ok(Some(to_epoch(revision))),
        Err(Error::NotApplied { .. } | Error::Unknown { .. }) => {
            let pair = store.get(&key).await?;
            let own = pair.filter(|pair| pair.lease == lease.id);
            Ok(own.map(|pair| to_epoch(pair.create_revision)))
        }
        Err(error) => Err(error),
    }
}

/// Releases a ledger: stops acting as its owner, then deletes the owner key.
///
/// Waits up to [`RELEASE_TIMEOUT`] for pending changes to be written. This entry drops changes that
/// are still unwritten then: callers that wait for one receive an unknown outcome, and agents
/// report theirs again to the next owner.
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
    delete_owner_key(service, ledger, epoch).await;
}

/// Deletes owner keys that are left over from releases and claims whose result was lost.
async fn delete_stale_owner_keys(service: &Service, lease: Lease, claims: &[u32]) {
    for ledger in 0..service.settings.ledgers {
        let Some(owner) = service.session.owner(ledger) else { continue };
        let owned = service.table.borrow().owned().any(|(owned, _)| owned == ledger);
        if owner.lease == lease.id && !owned && !claims.contains(&ledger) {
            delete_owner_key(service, ledger, owner.epoch).await;
        }
    }
}

fn is_writing(service: &Service, ledger: u32) -> bool {
    service.table.borrow().is_writing_ledger(ledger)
}

async fn delete_owner_key(service: &Service, ledger: u32, epoch: u64) {
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

fn parse_segment(pair: Pair) -> Option<(u64, String)> {
    let sequence = keys::parse_segment(&pair.key)?;
    Some((sequence, String::from_utf8_lossy(&pair.value).into_owned()))
}

fn to_epoch(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or_default()
}

//! The owner's loops: loading, hearing of jobs, deciding and recording.

use super::holder::Holder;
use super::reign::Reign;
use super::{Entry, keys};
use crate::peers::{pack, unpack};
use foldhash::HashMap;
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::{self, Progress, Record, Table};
use shallotflow_runtime::clock::{Boottime, wall_ms};
use shallotflow_store::error::Error;
use shallotflow_store::pair::Pair;
use shallotflow_store::transaction::Transaction;
use shallotflow_store::watch::Change;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Records in one transaction: with two comparisons and two writes beside, it fills the store's 32
/// rows.
const RECORDS_PER_COMMIT: usize = 14;
/// Jobs that are forgotten in one transaction; each has three keys.
const FORGOTTEN_PER_COMMIT: usize = 10;
/// Pause between two commits, so that changes gather and the store's rate is kept.
const COMMIT_PAUSE: Duration = Duration::from_millis(15);
/// News within this time are decided together.
const GATHER: Duration = Duration::from_millis(1);

/// Reads the store and becomes the owner that `holder` names.
pub(super) async fn load(entry: &Rc<Entry>, holder: &Holder, revision: i64) -> Result<(), Error> {
    let (holders, holders_revision) = read_holders(entry).await?;
    let learned = entry.noted(entry.store.get(keys::RATES)).await?;
    let asked = entry.noted(entry.store.range(keys::CALLERS)).await?;
    let progress = entry.noted(entry.store.range(keys::PROGRESS)).await?;
    if entry.known.borrow().holder.as_ref() != Some(holder) {
        return Ok(());
    }
    let now = Boottime.now();
    let table = Table::new(plan::Settings::default(), holder.epoch, holders.clone(), now);
    let revisions = HashMap::default();
    let learned_due = now.after(entry.settings.learned_interval);
    let mut reign = Reign { table, revision, revisions, holders, holders_revision, learned_due };
    match learned.map(|pair| unpack(&pair.value)) {
        Some(Ok(learned)) => reign.table.restore_rates(learned),
        // It is learned anew.
        Some(Err(error)) => unreadable(keys::RATES, &error),
        None => {}
    }
    reign.table.set_queues(entry.queues.borrow().clone());
    let mut kept: HashMap<Id, Progress> = HashMap::default();
    let mut unknown: BTreeSet<Id> = BTreeSet::new();
    for pair in progress.pairs {
        let Some(id) = id_of(&pair.key, keys::PROGRESS) else { continue };
        reign.revisions.insert(id, pair.mod_revision);
        match unpack(&pair.value) {
            Ok(progress) => {
                kept.insert(id, progress);
            }
            Err(error) => {
                unreadable(&pair.key, &error);
                unknown.insert(id);
            }
        }
    }
    for pair in &asked.pairs {
        // A job whose progress is not known may be done in part; it is left to a later version.
        if !id_of(&pair.key, keys::JOBS).is_some_and(|id| unknown.contains(&id)) {
            take_job(&mut reign, pair, &kept, true);
        }
    }
    for pair in &asked.pairs {
        take_cancel(&mut reign, &pair.key);
    }
    let jobs = asked.pairs.len();
    let waits = reign.holders.len();
    spdlog::info!("table owned", kv: { epoch = holder.epoch, jobs, waits });
    super::meters::owned(true);
    *entry.reign.borrow_mut() = Some(reign);
    entry.wake.notify(usize::MAX);
    monoio::spawn(hear(entry.clone(), holder.epoch, asked.revision));
    Ok(())
}

/// The agents that may hold runs, as the store lists them, and the revision of the list.
async fn read_holders(entry: &Rc<Entry>) -> Result<(Vec<Name>, i64), Error> {
    let Some(pair) = entry.noted(entry.store.get(keys::AGENTS)).await? else {
        return Ok((Vec::new(), 0));
    };
    let holders = serde_json::from_slice(&pair.value);
    let holders = holders.map_err(|error| Error::Rejected { reason: error.to_string() })?;
    Ok((holders, pair.mod_revision))
}

fn unreadable(key: &str, error: &dyn std::fmt::Display) {
    spdlog::error!("record unreadable", kv: { key, reason = error.to_string() });
}

fn id_of(key: &str, prefix: &str) -> Option<Id> {
    key.strip_prefix(prefix)?.parse().ok()
}

fn take_job(reign: &mut Reign, pair: &Pair, kept: &HashMap<Id, Progress>, loading: bool) {
    let Some(id) = id_of(&pair.key, keys::JOBS) else { return };
    match unpack::<Job>(&pair.value) {
        Ok(job) => {
            // A job that was stored after the claim cannot be known to a former owner.
            let fresh = pair.create_revision > reign.revision;
            let taken = reign.table.load(id, job, kept.get(&id), fresh, Boottime.now());
            if taken && !loading {
                let details = serde_json::json!({ "job": id.to_string(), "by": "store" });
                crate::log::decision("job heard", &details);
            }
        }
        Err(error) => unreadable(&pair.key, &error),
    }
}

fn take_cancel(reign: &mut Reign, key: &str) {
    let Some(id) = id_of(key, keys::CANCELS) else { return };
    reign.table.cancel(id, Boottime.now());
}

/// Hears of jobs and cancels from the store while the reign of `epoch` lasts.
async fn hear(entry: Rc<Entry>, epoch: u64, revision: i64) {
    let mut revision = revision;
    while is_owner(&entry, epoch) {
        match hear_from(&entry, epoch, &mut revision).await {
            Ok(()) => return,
            Err(Error::Compacted { .. }) => {
                let snapshot = entry.noted(entry.store.range(keys::CALLERS)).await;
                if let Ok(snapshot) = snapshot {
                    let pairs = snapshot.pairs.into_iter().map(Change::Put).collect();
                    take_changes(&entry, epoch, pairs);
                    revision = snapshot.revision;
                }
            }
            Err(error) => {
                spdlog::debug!("watch broke", kv: { reason = error.to_string() });
            }
        }
        monoio::time::sleep(entry.settings.store_pause).await;
    }
}

async fn hear_from(entry: &Rc<Entry>, epoch: u64, revision: &mut i64) -> Result<(), Error> {
    let mut watch = entry.store.watch(keys::CALLERS, *revision + 1).await?;
    loop {
        let update = entry.noted(watch.next()).await?;
        *revision = update.revision.max(*revision);
        if !take_changes(entry, epoch, update.changes) {
            return Ok(());
        }
    }
}

/// `false` once the reign of `epoch` is over.
fn take_changes(entry: &Rc<Entry>, epoch: u64, changes: Vec<Change>) -> bool {
    let mut reign = entry.reign.borrow_mut();
    let Some(reign) = reign.as_mut().filter(|reign| reign.table.epoch() == epoch) else {
        return false;
    };
    for change in changes {
        if let Change::Put(pair) = change {
            take_job(reign, &pair, &HashMap::default(), false);
            take_cancel(reign, &pair.key);
        }
    }
    entry.wake.notify(usize::MAX);
    true
}

fn is_owner(entry: &Rc<Entry>, epoch: u64) -> bool {
    entry.reign.borrow().as_ref().is_some_and(|reign| reign.table.epoch() == epoch)
}

/// Runs the systems over the table, for ever.
pub(super) async fn decide(entry: Rc<Entry>) {
    loop {
        let woken = entry.wake.listen();
        monoio::select! {
            _ = woken => monoio::time::sleep(GATHER).await,
            () = monoio::time::sleep(entry.settings.tick) => {}
        }
        let forgotten = {
            let mut reign = entry.reign.borrow_mut();
            let Some(reign) = reign.as_mut() else { continue };
            let now = Boottime.now();
            let forgotten = reign.table.expire(now, wall_ms());
            if entry.may_place(now) {
                reign.table.place(now, &reign.holders);
            }
            let events = reign.table.take_events();
            if !events.is_empty() {
                entry.ordered.notify(usize::MAX);
            }
            for event in events {
                super::meters::event(&event);
                crate::log::decision("plan", &event);
            }
            if reign.table.next_record().passed(now) || reign.table.holders() != reign.holders {
                entry.dirty.notify(usize::MAX);
            }
            forgotten
        };
        for ids in forgotten.chunks(FORGOTTEN_PER_COMMIT) {
            forget(&entry, ids).await;
        }
    }
}

/// Removes what the store holds of jobs that ended long ago.
async fn forget(entry: &Rc<Entry>, ids: &[Id]) {
    let mut transaction = Transaction::default();
    for id in ids {
        let keys = [keys::job(*id), keys::cancel(*id), keys::progress(*id)];
        transaction = keys.into_iter().fold(transaction, Transaction::delete);
    }
    if let Err(error) = entry.commit(transaction).await {
        // The next owner finds the jobs as ended and forgets them in turn.
        spdlog::warn!("jobs not forgotten", kv: { reason = error.to_string() });
    }
}

/// Records changes of the table, for ever.
pub(super) async fn record(entry: Rc<Entry>) {
    loop {
        let dirty = entry.dirty.listen();
        monoio::select! {
            _ = dirty => {}
            () = monoio::time::sleep(entry.settings.tick * 4) => {}
        }
        if let Err(error) = record_due(&entry, false).await {
            spdlog::warn!("not recorded", kv: { reason = error.to_string() });
            monoio::time::sleep(entry.settings.store_pause).await;
        }
        monoio::time::sleep(COMMIT_PAUSE).await;
    }
}

/// Records what is due, or all that has changed.
async fn record_due(entry: &Rc<Entry>, all: bool) -> Result<(), Error> {
    let Some(Commit { epoch, transaction, records, holders, learned }) = next_commit(entry, all)
    else {
        return Ok(());
    };
    let result = entry.commit(transaction).await;
    super::meters::recorded(result.as_ref().map_or_else(Error::kind, |_| "ok"));
    match result {
        Ok(revision) => {
            let mut reign = entry.reign.borrow_mut();
            let Some(reign) = reign.as_mut().filter(|reign| reign.table.epoch() == epoch) else {
                return Ok(());
            };
            for record in &records {
                reign.revisions.insert(record.job, revision);
                reign.table.mark_recorded(record.job, record.version);
            }
            if learned {
                reign.learned_due = Boottime.now().after(entry.settings.learned_interval);
            }
            if let Some(holders) = holders {
                reign.holders = holders;
                reign.holders_revision = revision;
            }
            entry.ordered.notify(usize::MAX);
            entry.wake.notify(usize::MAX);
            Ok(())
        }
        Err(error) => {
            if matches!(error, Error::NotApplied { .. }) || error.may_be_applied() {
                if let (Some(holders), Some(reign)) = (&holders, &mut *entry.reign.borrow_mut()) {
                    // Until it is read back, only what both lists hold is listed for sure.
                    reign.holders.retain(|agent| holders.contains(agent));
                }
                reread(entry, epoch, &records, holders.is_some()).await?;
            }
            match error {
                Error::NotApplied { .. } => Ok(()),
                error => Err(error),
            }
        }
    }
}

/// Changes on their way to the store.
struct Commit {
    epoch: u64,
    transaction: Transaction,
    records: Vec<Record>,
    /// The agents that may hold runs, if their list changes.
    holders: Option<Vec<Name>>,
    /// Whether what was learned of images goes along.
    learned: bool,
}

fn next_commit(entry: &Rc<Entry>, all: bool) -> Option<Commit> {
    let reign = entry.reign.borrow();
    let reign = reign.as_ref()?;
    let now = if all { shallotflow_core::time::Time::NEVER } else { Boottime.now() };
    let records = reign.table.records(now, RECORDS_PER_COMMIT);
    let holders = Some(reign.table.holders()).filter(|holders| *holders != reign.holders);
    if records.is_empty() && holders.is_none() {
        return None;
    }
    let mut transaction = Transaction::default().written_by(keys::OWNER, reign.revision);
    if let Some(holders) = &holders {
        let value = serde_json::to_vec(holders).unwrap_or_default();
        // A list that comes late must not replace a newer one.
        let known = reign.holders_revision;
        transaction = transaction.written_by(keys::AGENTS, known).put(keys::AGENTS, value);
    }
    let learned = reign.learned_due.passed(Boottime.now());
    if learned {
        match pack(&reign.table.learned_rates()) {
            Ok(value) => transaction = transaction.put(keys::RATES, value),
            Err(error) => unreadable(keys::RATES, &error),
        }
    }
    let mut written = Vec::with_capacity(records.len());
    for record in records {
        let key = keys::progress(record.job);
        match pack(&record.progress) {
            Ok(value) => {
                let revision = reign.revisions.get(&record.job).copied().unwrap_or(0);
                transaction = transaction.written_by(key.clone(), revision).put(key, value);
                written.push(record);
            }
            Err(error) => unreadable(&key, &error),
        }
    }
    Some(Commit { epoch: reign.table.epoch(), transaction, records: written, holders, learned })
}

/// Reads back what a commit may have written, and whether this entry is still the owner.
async fn reread(
    entry: &Rc<Entry>,
    epoch: u64,
    records: &[Record],
    holders: bool,
) -> Result<(), Error> {
    let owner = entry.noted(entry.store.get(keys::OWNER)).await;
    if let Some(pair) = owner? {
        match serde_json::from_slice::<Holder>(&pair.value) {
            Ok(holder) if holder.epoch != epoch => {
                entry.hear_of(holder);
                return Ok(());
            }
            Ok(_) => {}
            Err(error) => unreadable(keys::OWNER, &error),
        }
    }
    if holders {
        let (holders, revision) = read_holders(entry).await?;
        if let Some(reign) = &mut *entry.reign.borrow_mut() {
            reign.holders = holders;
            reign.holders_revision = revision;
        }
    }
    for record in records {
        let pair = entry.noted(entry.store.get(&keys::progress(record.job))).await;
        let revision = pair?.map_or(0, |pair| pair.mod_revision);
        if let Some(reign) = &mut *entry.reign.borrow_mut() {
            reign.revisions.insert(record.job, revision);
        }
    }
    Ok(())
}

/// Gives the table up for another entry to claim at once.
///
/// What is not recorded yet stays with the workers, which list the ends until told.
pub(super) async fn release(entry: &Entry) {
    let (epoch, revision) = {
        let reign = entry.reign.borrow();
        let Some(reign) = reign.as_ref() else { return };
        (reign.table.epoch(), reign.revision)
    };
    release_claim(entry, epoch, revision).await;
    entry.give_up("the process stops");
}

/// Says that nobody owns the table that was claimed as `revision`.
pub(super) async fn release_claim(entry: &Entry, epoch: u64, revision: i64) {
    let holder =
        Holder { epoch, entry: Name::from(""), process: entry.process, address: entry.address };
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let transaction =
        Transaction::default().written_by(keys::OWNER, revision).put(keys::OWNER, value);
    match entry.commit(transaction).await {
        Ok(_) => entry.hear_of(holder),
        Err(error) => spdlog::warn!("table not released", kv: { reason = error.to_string() }),
    }
}

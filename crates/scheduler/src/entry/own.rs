//! The owner's loops: loading the table, deciding and recording.
//!
//! The module keeps its name: log filters and the field `target` of log lines contain its path.

use super::activity::Activity;
use super::member::Owner;
use super::ownership::Ownership;
use super::requests::{self, Requests};
use super::{Entry, evacuate, keys, membership};
use crate::peers::{pack, unpack};
use foldhash::HashMap;
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::waits::Journal;
use shallotflow_policy::plan::{self, EvacuationRequests, Event, Record, Table};
use shallotflow_runtime::clock::{Boottime, wall_ms};
use shallotflow_store::error::Error;
use shallotflow_store::transaction::Transaction;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of progress records in one transaction; with two more comparisons and two more
/// writes they fill the store's limit of 32 rows.
const RECORDS_PER_COMMIT: usize = 14;
/// Bytes of the progress records in one transaction with more than one of them: 0.3 s on the slowest links
/// of entries, 10 Mbit/s.
const MAX_COMMIT_BYTES: usize = 256 * 1024;
/// Maximum number of jobs that one transaction deletes; each has three keys.
const DELETED_PER_COMMIT: usize = 10;
/// Pause between two commits, which batches changes and limits the rate of writes to the store.
const COMMIT_PAUSE: Duration = Duration::from_millis(15);
/// Interval between two log lines on the owner's activity.
const ACTIVITY_INTERVAL: Duration = Duration::from_secs(5);
/// A neighbor that adds this share of the target if it uses a whole worker holds tasks of a tenth of a
/// worker back beside services that are near their targets.
const HOLDING_RATE: f64 = 0.5;
/// Updates within this time are decided together.
const COALESCE_DELAY: Duration = Duration::from_millis(1);

/// Loads the table from the store and takes it over as `owner`.
pub(super) async fn load(entry: &Rc<Entry>, owner: &Owner, revision: i64) -> Result<(), Error> {
    let (holders, holders_revision) = read_holders(entry).await?;
    let learned = entry.store_call(entry.store.get(keys::RATES)).await?;
    let requests = Requests::read(entry).await?;
    let evacuations = evacuate::read(entry).await?;
    // Another writer may have replaced the claim without naming an owner.
    let replaced = entry.view.borrow().owner_revision != revision;
    if replaced || entry.view.borrow().owner.as_ref() != Some(owner) {
        return Ok(());
    }
    let now = Boottime.now();
    let missing = holders.iter().cloned().collect();
    let table = Table::new(entry.settings.limits(), owner.epoch, missing, now);
    let progress_revisions = HashMap::default();
    let rates_due = now.after(entry.settings.learned_interval);
    let mut ownership = Ownership {
        table,
        revision,
        progress_revisions,
        holders,
        holders_version: 0,
        holders_revision,
        rates_due,
        evacuation_requests: EvacuationRequests::default(),
        waits: Journal::new(entry.settings.logged_wait),
    };
    let evacuation_revision = evacuations.as_ref().map_or(0, |snapshot| snapshot.revision);
    if let Some(snapshot) = evacuations {
        evacuate::put_all(entry, &mut ownership, &snapshot.pairs);
    }
    evacuate::apply(entry, &mut ownership);
    match learned.map(|pair| unpack(&pair.value)) {
        Some(Ok(learned)) => ownership.table.restore_rates(learned),
        // The rates are learned anew.
        Some(Err(error)) => log_unreadable(keys::RATES, &error),
        None => {}
    }
    ownership.table.set_queues(entry.queues.borrow().clone(), now);
    let (jobs, position) = (requests.len(), requests.position);
    requests.apply(&mut ownership, true);
    let waits = ownership.holders.len();
    spdlog::info!("table owned", kv: { epoch = owner.epoch, jobs, waits });
    super::meters::owned(true);
    *entry.ownership.borrow_mut() = Some(ownership);
    entry.decision_due.notify(usize::MAX);
    monoio::spawn(requests::watch(entry.clone(), owner.epoch, position));
    monoio::spawn(evacuate::follow(entry.clone(), owner.epoch, evacuation_revision));
    Ok(())
}

/// Reads the list of agents that may hold runs, and the list's revision. A list that cannot be read
/// counts as one that names no agent and leaves all of them possible.
async fn read_holders(entry: &Rc<Entry>) -> Result<(BTreeSet<Name>, i64), Error> {
    let Some(pair) = entry.store_call(entry.store.get(keys::AGENTS)).await? else {
        return Ok((BTreeSet::new(), 0));
    };
    let holders = serde_json::from_slice(&pair.value).unwrap_or_else(|error| {
        crate::log::refused(keys::AGENTS, &error);
        BTreeSet::from([Name::from(plan::UNLISTED)])
    });
    Ok((holders, pair.mod_revision))
}

pub(super) fn log_unreadable(key: &str, error: &dyn std::fmt::Display) {
    spdlog::error!("record unreadable", kv: { key, reason = error.to_string() });
}

pub(super) fn is_owner(entry: &Rc<Entry>, epoch: u64) -> bool {
    entry.ownership.borrow().as_ref().is_some_and(|ownership| ownership.table.epoch() == epoch)
}

/// Expires deadlines and places tasks, at each tick and after each change, until the process ends.
pub(super) async fn decide(entry: Rc<Entry>) {
    loop {
        let due = entry.decision_due.listen();
        monoio::select! {
            _ = due => monoio::time::sleep(COALESCE_DELAY).await,
            () = monoio::time::sleep(entry.settings.tick) => {}
        }
        let forgotten = {
            let mut ownership = entry.ownership.borrow_mut();
            let Some(ownership) = ownership.as_mut() else { continue };
            let now = Boottime.now();
            let forgotten = ownership.table.expire(now, wall_ms());
            if entry.has_no_successor(now) {
                ownership.table.place(now, &ownership.holders);
            }
            let events = ownership.table.take_events();
            Activity::count(&entry.activity.passes, 1);
            Activity::count(&entry.activity.events, events.len() as u64);
            super::meters::evacuation_refusals(ownership.table.take_evacuation_refusals());
            entry.notify_agents(ownership.table.take_updated());
            for event in events {
                super::meters::event(&event);
                match event {
                    Event::Ended { .. } => crate::log::summary("ended", &event),
                    event => crate::log::decision("plan", &event),
                }
            }
            if ownership.table.next_record().passed(now)
                || ownership.table.holders_version() != ownership.holders_version
            {
                entry.commit_due.notify(usize::MAX);
            }
            forgotten
        };
        if !forgotten.is_empty() {
            // The store may take until the timeout to answer.
            monoio::spawn(delete_jobs(entry.clone(), forgotten));
        }
    }
}

/// Logs what the owner does, at a fixed interval, until the process ends.
pub(super) async fn log_activity(entry: Rc<Entry>) {
    loop {
        monoio::time::sleep(ACTIVITY_INTERVAL).await;
        if let Some(ownership) = &*entry.ownership.borrow() {
            let table = &ownership.table;
            super::meters::backlog(table);
            super::meters::disturbance(table.rates());
            log_disturbance(table);
            entry.activity.log(table.workers().len(), table.jobs().count());
        }
    }
}

/// Logs what the learned disturbance is worth: by its error, and by the pairs that hold tasks back.
fn log_disturbance(table: &Table) {
    let deviation = table.rates().deviation();
    let (pairs, holding) = table.rates().pairs(HOLDING_RATE);
    spdlog::info!("disturbance", kv: {
        pairs, holding, error = deviation.learned, error_alone = deviation.alone
    });
}

/// Deletes the store's keys of jobs that ended long ago.
async fn delete_jobs(entry: Rc<Entry>, ids: Vec<Id>) {
    for ids in ids.chunks(DELETED_PER_COMMIT) {
        let mut transaction = Transaction::default();
        for id in ids {
            let keys = [keys::job(*id), keys::cancel(*id), keys::progress(*id)];
            transaction = keys.into_iter().fold(transaction, Transaction::delete);
        }
        if let Err(error) = entry.commit(transaction).await {
            // The next owner finds the jobs ended and deletes them in turn.
            spdlog::warn!("jobs not forgotten", kv: { reason = error.to_string() });
        }
    }
}

/// Records changes of the table until the process ends.
pub(super) async fn record(entry: Rc<Entry>) {
    loop {
        let due = entry.commit_due.listen();
        monoio::select! {
            _ = due => {}
            () = monoio::time::sleep(entry.settings.tick * 4) => {}
        }
        if let Err(error) = record_due(&entry, false).await {
            spdlog::warn!("not recorded", kv: { reason = error.to_string() });
            monoio::time::sleep(entry.settings.store_pause).await;
        }
        monoio::time::sleep(COMMIT_PAUSE).await;
    }
}

/// Records the changes that are due, or all changes.
async fn record_due(entry: &Rc<Entry>, all: bool) -> Result<(), Error> {
    let Some(commit) = next_commit(entry, all) else { return Ok(()) };
    Activity::count(&entry.activity.commits, 1);
    let Commit { epoch, transaction, records, holders, holders_version, learned } = commit;
    let result = entry.commit(transaction).await;
    super::meters::recorded(result.as_ref().map_or_else(Error::kind, |_| "ok"));
    match result {
        Ok(revision) => {
            let mut ownership = entry.ownership.borrow_mut();
            let Some(ownership) =
                ownership.as_mut().filter(|ownership| ownership.table.epoch() == epoch)
            else {
                return Ok(());
            };
            for record in &records {
                ownership.progress_revisions.insert(record.job, revision);
                ownership.table.mark_recorded(record.job, record.version);
            }
            if learned {
                ownership.rates_due = Boottime.now().after(entry.settings.learned_interval);
            }
            if let Some(holders) = holders {
                ownership.holders = holders;
                ownership.holders_version = holders_version;
                ownership.holders_revision = revision;
                ownership.table.search_again();
            }
            entry.notify_agents(ownership.table.take_updated());
            entry.decision_due.notify(usize::MAX);
            Ok(())
        }
        Err(error) => {
            if matches!(error, Error::NotApplied { .. }) || error.may_be_applied() {
                if let (Some(holders), Some(ownership)) =
                    (&holders, &mut *entry.ownership.borrow_mut())
                {
                    // Until the list is read back, only agents that are in both versions are
                    // certainly listed.
                    ownership.holders.retain(|agent| holders.contains(agent));
                    ownership.holders_version = 0;
                }
                read_back(entry, epoch, &records, holders.is_some()).await?;
            }
            match error {
                Error::NotApplied { .. } => Ok(()),
                error => Err(error),
            }
        }
    }
}

/// A transaction to commit, with the changes that it holds.
struct Commit {
    epoch: u64,
    transaction: Transaction,
    records: Vec<Record>,
    /// The new list of agents that may hold runs, if it changes.
    holders: Option<BTreeSet<Name>>,
    /// The version of the table's list at that time.
    holders_version: u64,
    /// Whether the transaction includes the learned rates.
    learned: bool,
}

fn next_commit(entry: &Rc<Entry>, all: bool) -> Option<Commit> {
    let mut ownership = entry.ownership.borrow_mut();
    let ownership = ownership.as_mut()?;
    let now = if all { shallotflow_core::time::Time::NEVER } else { Boottime.now() };
    let records = ownership.table.records(now, RECORDS_PER_COMMIT);
    let holders_version = ownership.table.holders_version();
    let mut holders = None;
    if holders_version != ownership.holders_version {
        holders = Some(ownership.table.holders()).filter(|holders| *holders != ownership.holders);
        if holders.is_none() {
            ownership.holders_version = holders_version;
        }
    }
    if records.is_empty() && holders.is_none() {
        return None;
    }
    let mut transaction = Transaction::default().written_by(keys::OWNER, ownership.revision);
    if let Some(holders) = &holders {
        let value = serde_json::to_vec(holders).unwrap_or_default();
        // A delayed write of the list must not replace a newer one.
        let revision = ownership.holders_revision;
        transaction = transaction.written_by(keys::AGENTS, revision).put(keys::AGENTS, value);
    }
    let learned = ownership.rates_due.passed(Boottime.now());
    if learned {
        match pack(&ownership.table.learned_rates()) {
            Ok(value) => transaction = transaction.put(keys::RATES, value),
            Err(error) => log_unreadable(keys::RATES, &error),
        }
    }
    let mut written = Vec::with_capacity(records.len());
    let mut bytes = 0;
    for record in records {
        let key = keys::progress(record.job);
        match pack(&record.progress) {
            Ok(value) => {
                bytes += value.len();
                if bytes > MAX_COMMIT_BYTES && !written.is_empty() {
                    // The rest is still due and goes into the next transaction.
                    break;
                }
                let revision = ownership.progress_revisions.get(&record.job).copied().unwrap_or(0);
                transaction = transaction.written_by(key.clone(), revision).put(key, value);
                written.push(record);
            }
            Err(error) => log_unreadable(&key, &error),
        }
    }
    let epoch = ownership.table.epoch();
    Some(Commit { epoch, transaction, records: written, holders, holders_version, learned })
}

/// Reads back what a commit may have written, and checks whether this entry is still the owner.
async fn read_back(
    entry: &Rc<Entry>,
    epoch: u64,
    records: &[Record],
    holders: bool,
) -> Result<(), Error> {
    let owner = entry.store_call(entry.store.get(keys::OWNER)).await;
    if let Some(pair) = owner? {
        membership::apply_owner(entry, &pair);
    }
    if !is_owner(entry, epoch) {
        return Ok(());
    }
    if holders {
        let (holders, revision) = read_holders(entry).await?;
        if let Some(ownership) = &mut *entry.ownership.borrow_mut() {
            ownership.holders = holders;
            ownership.holders_version = 0;
            ownership.holders_revision = revision;
            ownership.table.search_again();
        }
    }
    for record in records {
        let pair = entry.store_call(entry.store.get(&keys::progress(record.job))).await;
        let revision = pair?.map_or(0, |pair| pair.mod_revision);
        if let Some(ownership) = &mut *entry.ownership.borrow_mut() {
            ownership.progress_revisions.insert(record.job, revision);
        }
    }
    Ok(())
}

/// Gives the table up, so that another entry can claim it at once.
///
/// Workers keep listing the ends that are not recorded yet, until the next owner has recorded them.
pub(super) async fn release(entry: &Entry) {
    let (epoch, revision) = {
        let ownership = entry.ownership.borrow();
        let Some(ownership) = ownership.as_ref() else { return };
        (ownership.table.epoch(), ownership.revision)
    };
    // A successor may claim as soon as the release is carried out, long before it is answered.
    entry.give_up("the process stops");
    release_claim(entry, epoch, revision).await;
}

/// Records that nobody owns the table that was claimed at `revision`.
pub(super) async fn release_claim(entry: &Entry, epoch: u64, revision: i64) {
    let owner =
        Owner { epoch, entry: Name::from(""), process: entry.process, address: entry.address };
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    let transaction =
        Transaction::default().written_by(keys::OWNER, revision).put(keys::OWNER, value);
    match entry.commit(transaction).await {
        Ok(revision) => entry.observe_owner(owner, revision),
        Err(error) => spdlog::warn!("table not released", kv: { reason = error.to_string() }),
    }
}

//! The jobs of all owned ledgers, with their indexes.

use super::backlog::Backlog;
use super::job::Job;
use super::shape::Shape;
use super::shard::Shard;
use super::worker::Worker;
use super::{
    Change, ClockReading, Error, Key, Result, Settings, Summary, Totals, commit, expire, id, park,
    retain,
};
use crate::injected::{self, Fault};
use shallotflow_core::job::{Record, Spec, State};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Jobs, workers and owned ledgers of an entry.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) settings: Settings,
    pub(super) shards: BTreeMap<u32, Shard>,
    pub(super) jobs: BTreeMap<Name, Job>,
    pub(super) workers: BTreeMap<Name, Worker>,
    /// Started jobs by worker, whether or not the start is committed.
    pub(super) placed: BTreeMap<Name, BTreeSet<Name>>,
    pub(super) backlog: Backlog,
    pub(super) parked: BTreeSet<Name>,
    /// Number of running tasks by caller.
    pub(super) running: BTreeMap<Name, usize>,
    /// The distinct shapes of the workers.
    pub(super) shapes: Vec<Shape>,
    /// Waiting jobs to be compared with the worker shapes.
    pub(super) unchecked: VecDeque<Name>,
    /// Slots that are free for batch work on all workers.
    pub(super) free_slots: u64,
    /// Time of the next check for lost tasks.
    pub(super) next_expiry_check: Time,
    /// Committed events since the last call of [`Table::take_totals`].
    pub(super) totals: Totals,
    /// Earliest time at which jobs may be parked: by then all live workers have reported to a new
    /// owner.
    pub(super) parking_allowed_at: Time,
}

impl Table {
    /// Creates an empty table.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over `ledger`, claimed at `clock`, from its `segments` (sequence number and text, in
    /// order).
    ///
    /// # Errors
    ///
    /// Fails if a segment cannot be read; the ledger is then not taken over.
    pub fn open(
        &mut self,
        ledger: u32,
        epoch: u64,
        segments: &[(u64, String)],
        clock: ClockReading,
    ) -> Result<()> {
        self.close(ledger);
        let inherited_end = match injected::is_on(Fault::GrantBeforeLeaseEnd) {
            true => clock.now,
            false => clock.now.after(self.settings.lease_wait()),
        };
        self.parking_allowed_at = self.parking_allowed_at.max(inherited_end);
        let mut shard = Shard::new(epoch, inherited_end);
        let jobs = commit::replay(ledger, segments, &mut shard)?;
        self.shards.insert(ledger, shard);
        for job in jobs {
            self.index(&job);
            self.unchecked.push_back(job.record.id.clone());
            self.jobs.insert(job.record.id.clone(), job);
        }
        Ok(())
    }

    /// Removes `ledger` and its jobs; another entry may own it from now on.
    pub fn close(&mut self, ledger: u32) {
        let prefix = format!("{ledger}-");
        let ids: Vec<Name> = self
            .jobs
            .range(Name::from(prefix.as_str())..)
            .map(|(id, _)| id.clone())
            .take_while(|id| id.starts_with(&prefix))
            .collect();
        for id in ids {
            if let Some(job) = self.jobs.remove(&id) {
                self.unindex(&job);
            }
        }
        self.shards.remove(&ledger);
    }

    /// Iterates over the owned ledgers and their epochs.
    pub fn owned(&self) -> impl Iterator<Item = (u32, u64)> {
        self.shards.iter().map(|(ledger, shard)| (*ledger, shard.epoch))
    }

    /// Records a job, or finds the job that an earlier submission with the same identifier
    /// recorded.
    ///
    /// Returns the change to wait for, and whether the job is new.
    ///
    /// # Errors
    ///
    /// Fails if this entry does not own the ledger, the identifier belongs to a job with another
    /// specification, or too many jobs are waiting.
    pub fn submit(&mut self, id: Name, spec: Spec, clock: ClockReading) -> Result<(Change, bool)> {
        let ledger = self.ledger(&id)?;
        if let Some(job) = self.jobs.get(&id) {
            if job.record.spec != spec {
                return Err(Error::KeyReused { id });
            }
            return Ok((self.change(ledger, job.change), false));
        }
        self.check_room(&spec.caller)?;
        let record = Record {
            id: id.clone(),
            spec,
            state: State::Queued,
            attempts: 0,
            failures: 0,
            checkpoint: None,
            cancelled: false,
            submitted_unix_ms: clock.unix_ms,
            finished_unix_ms: None,
        };
        let job = Job::new(record);
        self.index(&job);
        self.jobs.insert(id.clone(), job);
        self.unchecked.push_back(id.clone());
        Ok((self.mark_dirty(&id), true))
    }

    /// Withdraws a submission that has not been written or started; returns whether it is gone.
    pub fn withdraw(&mut self, id: &Name) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let untouched = job.committed.is_none() && job.record.attempts == 0;
        let Some(position) = job.dirty_at.filter(|_| untouched) else { return false };
        let Some(shard) = id::ledger(id).and_then(|ledger| self.shards.get_mut(&ledger)) else {
            return true;
        };
        let in_flight = shard.in_flight.as_ref();
        if in_flight.is_some_and(|segment| segment.written.iter().any(|job| job.record.id == *id)) {
            return false;
        }
        shard.dirty.remove(&position);
        if let Some(job) = self.jobs.remove(id) {
            self.unindex(&job);
        }
        true
    }

    /// Returns the committed record of a job.
    ///
    /// # Errors
    ///
    /// Fails if this entry does not own the ledger or has no record of the job.
    pub fn read(&self, id: &Name) -> Result<&Record> {
        self.ledger(id)?;
        let job = self.jobs.get(id).and_then(|job| job.committed.as_ref());
        job.ok_or_else(|| Error::UnknownJob { id: id.clone() })
    }

    /// Cancels a job and returns the change to wait for. A job in a final state is not changed.
    ///
    /// # Errors
    ///
    /// Fails if this entry does not own the ledger or has no record of the job.
    pub fn cancel(&mut self, id: &Name, clock: ClockReading) -> Result<Change> {
        let ledger = self.ledger(id)?;
        let unknown = || Error::UnknownJob { id: id.clone() };
        let job = self.jobs.get(id).ok_or_else(unknown)?;
        if job.record.cancelled || job.record.state.is_final() {
            return Ok(self.change(ledger, job.change));
        }
        Ok(self.update(id, |job| {
            job.record.cancelled = true;
            if !matches!(job.record.state, State::Started { .. }) {
                job.end(State::Cancelled, clock);
            }
        }))
    }

    /// Lists at most `limit` committed records, filtered by `state` if given.
    pub fn list<'a>(
        &'a self,
        state: Option<&'a str>,
        limit: usize,
    ) -> impl Iterator<Item = &'a Record> {
        self.jobs
            .values()
            .filter_map(|job| job.committed.as_ref())
            .filter(move |record| state.is_none_or(|state| record.state.as_str() == state))
            .take(limit)
    }

    /// Returns and resets the totals of committed events since the last call.
    pub fn take_totals(&mut self) -> Totals {
        std::mem::take(&mut self.totals)
    }

    /// Returns the number of jobs that wait for a worker.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the number of jobs in any state.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the table has no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether any change is uncommitted.
    pub fn is_writing(&self) -> bool {
        self.shards.keys().any(|ledger| self.is_writing_ledger(*ledger))
    }

    /// Whether any change of `ledger` is uncommitted.
    pub fn is_writing_ledger(&self, ledger: u32) -> bool {
        let shard = self.shards.get(&ledger);
        shard.is_some_and(|shard| shard.in_flight.is_some() || !shard.dirty.is_empty())
    }

    /// Returns statistics of the owned ledgers, for operators.
    pub fn summary(&self) -> Vec<Summary> {
        self.shards.iter().map(|(ledger, shard)| Summary::of(*ledger, shard)).collect()
    }

    /// Runs the periodic work: expires lost tasks, parks jobs that fit nowhere, applies retention.
    pub fn tick(&mut self, clock: ClockReading) {
        expire::run(self, clock);
        park::run(self, clock);
        retain::run(self, clock);
    }

    /// Applies `edit` to a job, updates the indexes and returns the change.
    pub(super) fn update(&mut self, id: &Name, edit: impl FnOnce(&mut Job)) -> Change {
        let Some(mut job) = self.jobs.remove(id) else { return Change::default() };
        self.unindex(&job);
        edit(&mut job);
        self.index(&job);
        self.jobs.insert(id.clone(), job);
        self.mark_dirty(id)
    }

    /// Returns the last change of a job.
    pub(super) fn last_change(&self, id: &Name) -> Change {
        let ledger = id::ledger(id).unwrap_or_default();
        self.change(ledger, self.jobs.get(id).map_or(0, |job| job.change))
    }

    /// Returns the key of the current attempt of a job.
    pub(super) fn current_key(&self, id: &Name) -> Option<Key> {
        let attempt = self.jobs.get(id)?.record.attempts;
        Some(Key { ledger: id::ledger(id)?, job: id.clone(), attempt })
    }

    /// Returns the jobs started on `worker`.
    pub(super) fn placed_on(&self, worker: &Name) -> Vec<Name> {
        self.placed.get(worker).into_iter().flatten().cloned().collect()
    }

    fn ledger(&self, id: &Name) -> Result<u32> {
        let ledger = id::ledger(id).ok_or_else(|| Error::UnknownJob { id: id.clone() })?;
        if !self.shards.contains_key(&ledger) {
            return Err(Error::NotOwned { ledger });
        }
        Ok(ledger)
    }

    fn check_room(&self, caller: &Name) -> Result<()> {
        let (waiting, limit) = (self.backlog.len(), self.settings.waiting_max);
        if waiting >= limit {
            return Err(Error::Full { waiting, limit });
        }
        let (waiting, limit) = (self.backlog.waiting(caller), self.settings.caller_waiting_max);
        if waiting >= limit {
            return Err(Error::CallerFull { caller: caller.clone(), waiting, limit });
        }
        Ok(())
    }

    fn change(&self, ledger: u32, number: u64) -> Change {
        Change { ledger, epoch: self.shards.get(&ledger).map_or(0, |shard| shard.epoch), number }
    }

    /// Records a change of a job and queues the job for the next segment.
    fn mark_dirty(&mut self, id: &Name) -> Change {
        let Some(ledger) = id::ledger(id) else { return Change::default() };
        let (Some(job), Some(shard)) = (self.jobs.get_mut(id), self.shards.get_mut(&ledger)) else {
            return Change::default();
        };
        shard.last_change += 1;
        job.change = shard.last_change;
        if job.dirty_at.is_none() {
            job.dirty_at = Some(job.change);
            shard.dirty.insert(job.change, id.clone());
        }
        Change { ledger, epoch: shard.epoch, number: job.change }
    }

    fn index(&mut self, job: &Job) {
        let record = &job.record;
        match &record.state {
            State::Queued => self.backlog.insert(record),
            State::Parked { .. } => {
                self.parked.insert(record.id.clone());
            }
            State::Started { worker, .. } => {
                self.placed.entry(worker.clone()).or_default().insert(record.id.clone());
                *self.running.entry(record.spec.caller.clone()).or_default() += 1;
            }
            _ => {
                if let Some(shard) = self.shard_of(&record.id) {
                    shard.finished.insert(finished_key(record));
                }
            }
        }
    }

    fn unindex(&mut self, job: &Job) {
        let record = &job.record;
        match &record.state {
            State::Queued => self.backlog.remove(record),
            State::Parked { .. } => {
                self.parked.remove(&record.id);
            }
            State::Started { worker, .. } => {
                remove_from(&mut self.placed, worker, &record.id);
                decrement(&mut self.running, &record.spec.caller);
            }
            _ => {
                if let Some(shard) = self.shard_of(&record.id) {
                    shard.finished.remove(&finished_key(record));
                }
            }
        }
    }

    fn shard_of(&mut self, id: &Name) -> Option<&mut Shard> {
        self.shards.get_mut(&id::ledger(id)?)
    }
}

fn finished_key(record: &Record) -> (u64, Name) {
    (record.finished_unix_ms.unwrap_or_default(), record.id.clone())
}

fn remove_from(index: &mut BTreeMap<Name, BTreeSet<Name>>, worker: &Name, id: &Name) {
    let Some(jobs) = index.get_mut(worker) else { return };
    jobs.remove(id);
    if jobs.is_empty() {
        index.remove(worker);
    }
}

fn decrement(counts: &mut BTreeMap<Name, usize>, name: &Name) {
    let Some(count) = counts.get_mut(name) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(name);
    }
}

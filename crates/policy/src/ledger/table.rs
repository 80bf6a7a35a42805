//! The jobs of every ledger owned here, with the indexes that the systems run over.

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

/// Jobs, workers and owned ledgers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) settings: Settings,
    pub(super) shards: BTreeMap<u32, Shard>,
    pub(super) jobs: BTreeMap<Name, Job>,
    pub(super) workers: BTreeMap<Name, Worker>,
    /// Jobs with a committed or pending start, by worker.
    pub(super) placed: BTreeMap<Name, BTreeSet<Name>>,
    pub(super) backlog: Backlog,
    pub(super) parked: BTreeSet<Name>,
    /// How many tasks each caller runs.
    pub(super) running: BTreeMap<Name, usize>,
    /// The capacities that workers have.
    pub(super) shapes: Vec<Shape>,
    /// Waiting jobs that were not yet compared with the capacities.
    pub(super) unchecked: VecDeque<Name>,
    /// The slots that batch work may take on all workers.
    pub(super) free_slots: u64,
    /// When lost tasks are looked for again.
    pub(super) expires_at: Time,
    /// What was committed since it was last asked for.
    pub(super) totals: Totals,
    /// From when on enough workers have reported to park a job.
    pub(super) parks_from: Time,
}

impl Table {
    /// An empty table.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over `ledger` from its `segments` (number and text, in order), claimed at `moment`.
    ///
    /// # Errors
    ///
    /// Fails when a segment cannot be read; the ledger is not taken over then.
    pub fn open(
        &mut self,
        ledger: u32,
        epoch: u64,
        segments: &[(u64, String)],
        moment: ClockReading,
    ) -> Result<()> {
        self.close(ledger);
        let inherited_end = match injected::is_on(Fault::GrantBeforeLeaseEnd) {
            true => moment.now,
            false => moment.now.after(self.settings.lease_wait()),
        };
        self.parks_from = self.parks_from.max(inherited_end);
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

    /// Forgets `ledger`, which another entry may own from now on.
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

    /// The ledgers owned here, with their epochs.
    pub fn owned(&self) -> impl Iterator<Item = (u32, u64)> {
        self.shards.iter().map(|(ledger, shard)| (*ledger, shard.epoch))
    }

    /// Records a job, or finds the one that was recorded before.
    ///
    /// Returns the change to wait for, and whether the job is new.
    ///
    /// # Errors
    ///
    /// Fails when the ledger is not owned here, the identifier belongs to another specification, or
    /// too many jobs wait.
    pub fn submit(&mut self, id: Name, spec: Spec, moment: ClockReading) -> Result<(Change, bool)> {
        let ledger = self.ledger(&id)?;
        if let Some(job) = self.jobs.get(&id) {
            if job.record.spec != spec {
                return Err(Error::KeyReused { id });
            }
            return Ok((self.mark(ledger, job.change), false));
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
            submitted_unix_ms: moment.unix_ms,
            finished_unix_ms: None,
        };
        let job = Job::new(record);
        self.index(&job);
        self.jobs.insert(id.clone(), job);
        self.unchecked.push_back(id.clone());
        Ok((self.touch(&id), true))
    }

    /// Takes back a submission of which nothing was written yet; returns whether it could be.
    pub fn withdraw(&mut self, id: &Name) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let untouched = job.committed.is_none() && job.record.attempts == 0;
        let Some(position) = job.dirty_at.filter(|_| untouched) else { return false };
        let Some(shard) = id::ledger(id).and_then(|ledger| self.shards.get_mut(&ledger)) else {
            return true;
        };
        let flies = shard.flying.as_ref();
        if flies.is_some_and(|flying| flying.entries.iter().any(|entry| entry.record.id == *id)) {
            return false;
        }
        shard.dirty.remove(&position);
        if let Some(job) = self.jobs.remove(id) {
            self.unindex(&job);
        }
        true
    }

    /// The record of a job as committed.
    ///
    /// # Errors
    ///
    /// Fails when the ledger is not owned here or the job is not recorded.
    pub fn read(&self, id: &Name) -> Result<&Record> {
        self.ledger(id)?;
        let job = self.jobs.get(id).and_then(|job| job.committed.as_ref());
        job.ok_or_else(|| Error::UnknownJob { id: id.clone() })
    }

    /// Cancels a job; returns the change to wait for. A job that has ended stays as it is.
    ///
    /// # Errors
    ///
    /// Fails when the ledger is not owned here or the job is not recorded.
    pub fn cancel(&mut self, id: &Name, moment: ClockReading) -> Result<Change> {
        let ledger = self.ledger(id)?;
        let unknown = || Error::UnknownJob { id: id.clone() };
        let job = self.jobs.get(id).ok_or_else(unknown)?;
        if job.record.cancelled || job.record.state.is_final() {
            return Ok(self.mark(ledger, job.change));
        }
        Ok(self.update(id, |job| {
            job.record.cancelled = true;
            if !matches!(job.record.state, State::Started { .. }) {
                job.end(State::Cancelled, moment);
            }
        }))
    }

    /// Committed records, in `state` if one is given, at most `limit`.
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

    /// What was committed since the last call.
    pub fn take_totals(&mut self) -> Totals {
        std::mem::take(&mut self.totals)
    }

    /// How many jobs wait for a worker.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// How many jobs are held, in any state.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is held.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether any change waits for its commit.
    pub fn is_writing(&self) -> bool {
        self.shards.keys().any(|ledger| self.is_writing_ledger(*ledger))
    }

    /// Whether a change of `ledger` waits for its commit.
    pub fn is_writing_ledger(&self, ledger: u32) -> bool {
        let shard = self.shards.get(&ledger);
        shard.is_some_and(|shard| shard.flying.is_some() || !shard.dirty.is_empty())
    }

    /// The owned ledgers, for operators.
    pub fn summary(&self) -> Vec<Summary> {
        self.shards.iter().map(|(ledger, shard)| Summary::of(*ledger, shard)).collect()
    }

    /// Runs the systems that depend on time alone: lost tasks, impossible jobs, retention.
    pub fn tick(&mut self, moment: ClockReading) {
        expire::run(self, moment);
        park::run(self, moment);
        retain::run(self, moment);
    }

    /// Changes a job and its place in the indexes; returns the change.
    pub(super) fn update(&mut self, id: &Name, change: impl FnOnce(&mut Job)) -> Change {
        let Some(mut job) = self.jobs.remove(id) else { return Change::default() };
        self.unindex(&job);
        change(&mut job);
        self.index(&job);
        self.jobs.insert(id.clone(), job);
        self.touch(id)
    }

    /// The last change of a job.
    pub(super) fn last_change(&self, id: &Name) -> Change {
        let ledger = id::ledger(id).unwrap_or_default();
        self.mark(ledger, self.jobs.get(id).map_or(0, |job| job.change))
    }

    /// The current attempt of a job.
    pub(super) fn current_key(&self, id: &Name) -> Option<Key> {
        let attempt = self.jobs.get(id)?.record.attempts;
        Some(Key { ledger: id::ledger(id)?, job: id.clone(), attempt })
    }

    /// The jobs placed on `worker`.
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

    fn mark(&self, ledger: u32, change: u64) -> Change {
        Change {
            ledger,
            epoch: self.shards.get(&ledger).map_or(0, |shard| shard.epoch),
            number: change,
        }
    }

    /// Notes that a job has to be written.
    fn touch(&mut self, id: &Name) -> Change {
        let Some(ledger) = id::ledger(id) else { return Change::default() };
        let (Some(job), Some(shard)) = (self.jobs.get_mut(id), self.shards.get_mut(&ledger)) else {
            return Change::default();
        };
        shard.changes += 1;
        job.change = shard.changes;
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

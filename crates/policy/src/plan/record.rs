use super::{Job, Phase, Progress, Table};
use shallotflow_core::graph::Id;
use shallotflow_core::time::Time;

/// A job's progress on its way to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The job.
    pub job: Id,
    /// The version of the job that it holds.
    pub version: u64,
    /// What is kept.
    pub progress: Progress,
}

impl Job {
    /// What the store keeps of the job.
    pub fn progress(&self) -> Progress {
        let mut progress =
            Progress { state: self.state(), ended_ms: self.ended_ms, ..Progress::default() };
        if progress.state.is_final() {
            return progress;
        }
        for (number, row) in (0_u32..).zip(&self.tasks) {
            if row.phase == Phase::Done {
                match progress.done.last_mut() {
                    Some((_, last)) if *last + 1 == number => *last = number,
                    _ => progress.done.push((number, number)),
                }
                continue;
            }
            if !row.failed.is_empty() {
                progress.failed.push((number, row.failed.clone()));
            }
            if let Some(checkpoint) = &row.checkpoint {
                progress.checkpoints.push((number, checkpoint.clone()));
            }
        }
        progress
    }

    /// Takes over what the store kept.
    pub fn restore(&mut self, progress: &Progress) {
        self.ended_ms = progress.ended_ms;
        match progress.state {
            state if state.is_final() => self.ended = Some(state),
            _ => {}
        }
        for (first, last) in &progress.done {
            for row in self.tasks.iter_mut().take(*last as usize + 1).skip(*first as usize) {
                row.phase = Phase::Done;
            }
        }
        for (number, failed) in &progress.failed {
            if let Some(row) = self.tasks.get_mut(*number as usize) {
                row.failed.clone_from(failed);
            }
        }
        for (number, checkpoint) in &progress.checkpoints {
            if let Some(row) = self.tasks.get_mut(*number as usize) {
                row.checkpoint = Some(checkpoint.clone());
            }
        }
    }
}

/// The system that hands changes to the store.
impl Table {
    /// Up to `most` jobs whose changes are due to be recorded at `now`.
    ///
    /// Once one is due, others that have changed go along.
    pub fn records(&self, now: Time, most: usize) -> Vec<Record> {
        if !self.dirty.values().any(|due| due.passed(now)) {
            return Vec::new();
        }
        let mut due: Vec<_> = self.dirty.iter().map(|(job, due)| (*due, *job)).collect();
        due.sort_unstable();
        let job = |(_, id): (Time, Id)| {
            let job = self.jobs.get(&id)?;
            Some(Record { job: id, version: job.version, progress: job.progress() })
        };
        due.into_iter().take(most).filter_map(job).collect()
    }

    /// When the next change is due to be recorded.
    pub fn next_record(&self) -> Time {
        self.dirty.values().min().copied().unwrap_or(Time::NEVER)
    }

    /// Notes that the store holds `version` of `job`.
    pub fn mark_recorded(&mut self, id: Id, version: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.recorded = job.recorded.max(version);
        if job.recorded == job.version {
            self.dirty.remove(&id);
        }
        let agents: Vec<_> = self.workers.keys().cloned().collect();
        for agent in agents {
            self.advance_recorded(&agent);
        }
    }

    /// Notes that a task of `job` was seen to run; callers are shown that once it is recorded.
    pub(super) fn mark_started(&mut self, id: Id, now: Time) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.started) else { return };
        job.started = true;
        job.version += 1;
        job.started_version = job.version;
        self.dirty.entry(id).or_insert(now.after(self.settings.started_delay));
    }

    /// Marks `job` as changed; a final state is due at once.
    pub(super) fn mark_changed(&mut self, id: Id, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.version += 1;
        let due = if job.ended.is_some() { now } else { now.after(self.settings.record_delay) };
        let slot = self.dirty.entry(id).or_insert(due);
        *slot = due.min(*slot);
    }
}

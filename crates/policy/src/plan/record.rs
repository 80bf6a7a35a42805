use super::{Job, Phase, Progress, Table};
use shallotflow_core::graph::Id;
use shallotflow_core::time::Time;

/// Bytes of the checkpoints in the record of a job. Those beyond are left out: only a new owner misses
/// them, unless a worker lists them.
const MAX_CHECKPOINT_BYTES: usize = 256 * 1024;

/// The progress of a job, to be written to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Identifier of the job.
    pub job: Id,
    /// Version of the job that `progress` reflects.
    pub version: u64,
    /// Progress to store.
    pub progress: Progress,
}

impl Job {
    /// Returns the progress of the job as it is stored.
    pub fn progress(&self) -> Progress {
        let mut progress =
            Progress { state: self.state(), ended_ms: self.ended_ms, ..Progress::default() };
        if progress.state.is_final() {
            return progress;
        }
        let mut checkpoint_bytes = 0;
        for (number, state) in (0_u32..).zip(&self.tasks) {
            if state.phase == Phase::Done {
                match progress.done.last_mut() {
                    Some((_, last)) if *last + 1 == number => *last = number,
                    _ => progress.done.push((number, number)),
                }
                continue;
            }
            if !state.failed.is_empty() {
                progress.failed.push((number, state.failed.clone()));
            }
            if !state.crashed.is_empty() {
                progress.crashed.push((number, state.crashed.clone()));
            }
            if !state.suspected.is_empty() {
                progress.suspected.push((number, state.suspected.clone()));
            }
            if !state.certain.is_empty() {
                progress.certain.push((number, state.certain.clone()));
            }
            if let Some(checkpoint) = &state.checkpoint {
                checkpoint_bytes += checkpoint.len();
                if checkpoint_bytes > MAX_CHECKPOINT_BYTES {
                    continue;
                }
                progress.checkpoints.push((number, checkpoint.clone()));
            }
        }
        progress
    }

    /// Restores the job from stored progress.
    pub fn restore(&mut self, progress: &Progress) {
        self.ended_ms = progress.ended_ms;
        match progress.state {
            state if state.is_final() => self.ended = Some(state),
            _ => {}
        }
        for (first, last) in &progress.done {
            for state in self.tasks.iter_mut().take(*last as usize + 1).skip(*first as usize) {
                state.phase = Phase::Done;
            }
        }
        for (number, failed) in &progress.failed {
            if let Some(state) = self.tasks.get_mut(*number as usize) {
                state.failed.clone_from(failed);
            }
        }
        for (number, crashed) in &progress.crashed {
            if let Some(state) = self.tasks.get_mut(*number as usize) {
                state.crashed.clone_from(crashed);
            }
        }
        for (number, suspected) in &progress.suspected {
            if let Some(state) = self.tasks.get_mut(*number as usize) {
                state.suspected.clone_from(suspected);
            }
        }
        for (number, certain) in &progress.certain {
            if let Some(state) = self.tasks.get_mut(*number as usize) {
                state.certain.clone_from(certain);
            }
        }
        self.suspects = self.count_suspects();
        for (number, checkpoint) in &progress.checkpoints {
            if let Some(state) = self.tasks.get_mut(*number as usize) {
                state.checkpoint = Some(checkpoint.clone());
            }
        }
    }
}

/// Recording of changes in the store.
impl Table {
    /// Returns up to `limit` changed jobs to record at `now`, none while no change is due.
    ///
    /// Once one change is due, other changed jobs are included in the same write.
    pub fn records(&self, now: Time, limit: usize) -> Vec<Record> {
        if !self.changes.next().passed(now) {
            return Vec::new();
        }
        let job = |id: Id| {
            let job = self.jobs.get(&id)?;
            Some(Record { job: id, version: job.version, progress: job.progress() })
        };
        self.changes.iter().take(limit).filter_map(job).collect()
    }

    /// Returns when the next change is due to be recorded.
    pub fn next_record(&self) -> Time {
        self.changes.next()
    }

    /// Marks `version` of the job `id` as stored.
    pub fn mark_recorded(&mut self, id: Id, version: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.recorded = job.recorded.max(version);
        if job.recorded == job.version {
            self.changes.remove(id);
        }
        self.may_start |= job.suspects > 0;
        let agents = std::mem::take(&mut job.ending);
        for agent in agents {
            self.advance_recorded(&agent);
        }
    }

    /// Marks the job `id` as started; callers see it as running once this is recorded.
    pub(super) fn mark_started(&mut self, id: Id, now: Time) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.started) else { return };
        job.started = true;
        job.version += 1;
        job.started_version = job.version;
        self.changes.add(id, now.after(self.settings.started_delay));
        self.update_ready(id, now);
    }

    /// Marks the job `id` as changed. A final state is due to be recorded at once.
    pub(super) fn mark_changed(&mut self, id: Id, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.version += 1;
        let due = if job.ended.is_some() { now } else { now.after(self.settings.record_delay) };
        self.changes.add(id, due);
    }
}

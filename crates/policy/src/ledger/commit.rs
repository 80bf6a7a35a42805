//! Groups of changes on their way to the store, and the way back after a takeover.

use super::job::{Job, Place};
use super::line::{Creation, Line, Progress};
use super::log::Stored;
use super::shard::{Flying, Shard, Written};
use super::{Error, Result, Segment, Table};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// The most segments that one commit replaces.
const REPLACED_MAX: usize = 100;

/// The first line of a segment.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    epoch: u64,
}

impl Table {
    /// Ledgers with changes to write and no segment on its way.
    pub fn writable_ledgers(&self) -> impl Iterator<Item = u32> {
        let ready = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.flying.is_none() && !shard.dirty.is_empty());
        ready.map(|(ledger, _)| *ledger)
    }

    /// The next segment of `ledger`; it counts as on its way until [`Table::confirm_segment`].
    pub fn next_segment(&mut self, ledger: u32) -> Option<Segment> {
        let shard = self.shards.get(&ledger)?;
        if shard.flying.is_some() || shard.dirty.is_empty() {
            return None;
        }
        let mut draft = Draft::new(shard);
        draft.add_changes(shard, &self.jobs, self.settings.segment_bytes);
        draft.compact(shard, &self.jobs, self.settings.segment_bytes, self.settings.segments_min);
        let shard = self.shards.get_mut(&ledger)?;
        for position in &draft.positions {
            let id = shard.dirty.remove(position)?;
            self.jobs.get_mut(&id)?.dirty_at = None;
        }
        let covers = shard.dirty.first_key_value().map_or(shard.changes, |(first, _)| first - 1);
        let segment = Segment {
            ledger,
            epoch: shard.epoch,
            sequence: shard.log.next(),
            body: draft.body,
            replaced: draft.replaced.clone(),
        };
        shard.flying = Some(Flying {
            sequence: segment.sequence,
            bytes: segment.body.len(),
            replaced: draft.replaced,
            entries: draft.entries,
            dropped: draft.dropped,
            covers,
        });
        Some(segment)
    }

    /// Notes that `segment` is in the store, and counts what came there with it.
    pub fn confirm_segment(&mut self, segment: &Segment) {
        let Some(shard) = self.shards.get_mut(&segment.ledger) else { return };
        if shard.epoch != segment.epoch {
            return;
        }
        let Some(flying) = shard.flying.take() else { return };
        let jobs = flying.entries.iter().map(|entry| entry.record.id.clone()).collect();
        shard.log.insert(flying.sequence, Stored { bytes: flying.bytes, jobs });
        for replaced in flying.replaced {
            shard.log.remove(replaced);
        }
        for entry in flying.entries {
            let Some(job) = self.jobs.get_mut(&entry.record.id) else { continue };
            self.totals.count(job.committed.as_ref(), &entry);
            settle(shard, job, entry, flying.sequence);
        }
        shard.committed = flying.covers;
        for id in flying.dropped {
            if self.jobs.get(&id).is_some_and(|job| job.expired && job.dirty_at.is_none()) {
                self.jobs.remove(&id);
            }
        }
    }
}

fn settle(shard: &mut Shard, job: &mut Job, entry: Written, sequence: u64) {
    shard.live_bytes -= job.live_bytes();
    if entry.has_spec {
        job.spec_at = Place { segment: sequence, bytes: entry.spec_bytes };
    }
    if entry.has_status {
        job.status_at = Place { segment: sequence, bytes: entry.status_bytes };
        job.committed = Some(entry.record);
    }
    shard.live_bytes += job.live_bytes();
}

/// A segment in the making.
struct Draft {
    body: String,
    entries: Vec<Written>,
    positions: Vec<u64>,
    replaced: Vec<u64>,
    dropped: Vec<Name>,
}

impl Draft {
    fn new(shard: &Shard) -> Self {
        let body = encode(&Header { epoch: shard.epoch });
        Self {
            body,
            entries: Vec::new(),
            positions: Vec::new(),
            replaced: Vec::new(),
            dropped: Vec::new(),
        }
    }

    /// Adds the changed jobs, oldest change first, up to `limit` bytes but at least one.
    fn add_changes(&mut self, shard: &Shard, jobs: &BTreeMap<Name, Job>, limit: usize) {
        for (position, id) in &shard.dirty {
            let Some(job) = jobs.get(id) else { continue };
            let (line, entry) = write(job, job.spec_at.segment == 0, true);
            if !self.entries.is_empty() && self.body.len() + line.len() > limit {
                return;
            }
            self.push(&line, entry);
            self.positions.push(*position);
        }
    }

    /// Moves what is still needed out of the oldest segments while the log is too long.
    fn compact(
        &mut self,
        shard: &Shard,
        jobs: &BTreeMap<Name, Job>,
        segment_bytes: usize,
        segments_min: usize,
    ) {
        let allowed_bytes = 2 * shard.live_bytes + 4 * segment_bytes;
        let allowed_segments = segments_min + 2 * shard.live_bytes / segment_bytes.max(1);
        let mut bytes = shard.log.bytes();
        for (sequence, stored) in shard.log.segments().take(REPLACED_MAX) {
            let segments = shard.log.len() - self.replaced.len() + 1;
            if bytes + self.body.len() <= allowed_bytes && segments <= allowed_segments {
                return;
            }
            let moved = self.remainder(sequence, stored, jobs);
            let moved_bytes: usize = moved.iter().map(|(line, _)| line.len()).sum();
            if self.body.len() + moved_bytes > 2 * segment_bytes {
                return;
            }
            for (line, entry) in moved {
                self.push(&line, entry);
            }
            let expired = |id: &&Name| {
                jobs.get(*id).is_some_and(|job| job.expired && job.spec_at.segment == sequence)
            };
            self.dropped.extend(stored.jobs.iter().filter(expired).cloned());
            self.replaced.push(sequence);
            bytes -= stored.bytes;
        }
    }

    /// What of a stored segment is the newest of its kind and not in this draft.
    fn remainder(
        &self,
        sequence: u64,
        stored: &Stored,
        jobs: &BTreeMap<Name, Job>,
    ) -> Vec<(String, Written)> {
        let mut moved: Vec<(String, Written)> = Vec::new();
        for id in &stored.jobs {
            let Some(job) = jobs.get(id).filter(|job| !job.expired) else { continue };
            let done = moved.iter().any(|(_, entry)| entry.record.id == *id);
            let rewritten =
                self.entries.iter().any(|entry| entry.record.id == *id && entry.has_status);
            let has_spec = job.spec_at.segment == sequence;
            let has_status = job.status_at.segment == sequence && !rewritten;
            if !done && (has_spec || has_status) {
                moved.push(write(job, has_spec, has_status));
            }
        }
        moved
    }

    fn push(&mut self, line: &str, entry: Written) {
        self.body.push('\n');
        self.body.push_str(line);
        self.entries.push(entry);
    }
}

/// The line of a job, with what it will mean once it is in the store.
fn write(job: &Job, has_spec: bool, has_status: bool) -> (String, Written) {
    let record = job.record.clone();
    let line = Line {
        id: record.id.clone(),
        creation: has_spec.then(|| Creation::of(&record)),
        progress: has_status.then(|| Progress::of(&record, job.spent)),
    };
    let text = encode(&line);
    let (spec_bytes, status_bytes) = sizes(&line, text.len());
    (text, Written { record, has_spec, has_status, spec_bytes, status_bytes })
}

/// How the bytes of a line divide between the specification and the status.
fn sizes(line: &Line, bytes: usize) -> (usize, usize) {
    match (&line.creation, &line.progress) {
        (Some(_), Some(progress)) => {
            let status = encode(progress).len();
            (bytes - status, status)
        }
        (Some(_), None) => (bytes, 0),
        _ => (0, bytes),
    }
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("records have string keys only")
}

/// Reads the segments of a ledger; returns its jobs and fills the shard's log.
pub(super) fn replay(
    ledger: u32,
    segments: &[(u64, String)],
    shard: &mut Shard,
) -> Result<Vec<Job>> {
    let mut found: BTreeMap<Name, Found> = BTreeMap::new();
    for (sequence, body) in segments {
        let damaged = |error: serde_json::Error| Error::Damaged {
            ledger,
            sequence: *sequence,
            reason: error.to_string(),
        };
        let mut stored = Stored { bytes: body.len(), jobs: Vec::new() };
        let mut lines = body.lines();
        let header = lines.next().unwrap_or_default();
        let _: Header = serde_json::from_str(header).map_err(damaged)?;
        for text in lines {
            let line: Line = serde_json::from_str(text).map_err(damaged)?;
            stored.jobs.push(line.id.clone());
            let (spec, status) = sizes(&line, text.len());
            let found = found.entry(line.id).or_default();
            if let Some(creation) = line.creation {
                found.creation = Some((creation, Place { segment: *sequence, bytes: spec }));
            }
            if let Some(progress) = line.progress {
                found.progress = Some((progress, Place { segment: *sequence, bytes: status }));
            }
        }
        shard.log.insert(*sequence, stored);
    }
    let jobs: Vec<Job> = found.into_iter().filter_map(|(id, found)| found.job(id)).collect();
    shard.live_bytes = jobs.iter().map(Job::live_bytes).sum();
    Ok(jobs)
}

/// The newest parts of a job in the log.
#[derive(Default)]
struct Found {
    creation: Option<(Creation, Place)>,
    progress: Option<(Progress, Place)>,
}

impl Found {
    /// The job; nothing when its specification was left out because the job is past its retention.
    fn job(self, id: Name) -> Option<Job> {
        let (creation, spec_at) = self.creation?;
        let (progress, status_at) = self.progress?;
        let spent = progress.spent;
        let record = creation.record(id, progress);
        let committed = Some(record.clone());
        Some(Job { committed, spec_at, status_at, spent, ..Job::new(record) })
    }
}

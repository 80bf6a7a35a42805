//! Writes changes to the store in segments and replays the segments after a takeover.

use super::job::{Job, Location};
use super::line::{Creation, Line, Progress};
use super::log::Stored;
use super::shard::{InFlight, Shard, Written};
use super::{Error, Result, Segment, Table};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// Maximum number of segments that one commit replaces.
const MAX_REPLACED_SEGMENTS: usize = 100;

/// The first line of a segment.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    epoch: u64,
}

impl Table {
    /// Returns the ledgers that have changes to write and no segment in flight.
    pub fn writable_ledgers(&self) -> impl Iterator<Item = u32> {
        let ready = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.in_flight.is_none() && !shard.dirty.is_empty());
        ready.map(|(ledger, _)| *ledger)
    }

    /// Builds the next segment of `ledger`; it is in flight until [`Table::confirm_segment`].
    pub fn next_segment(&mut self, ledger: u32) -> Option<Segment> {
        let shard = self.shards.get(&ledger)?;
        if shard.in_flight.is_some() || shard.dirty.is_empty() {
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
        let commits_through =
            shard.dirty.first_key_value().map_or(shard.last_change, |(first, _)| first - 1);
        let segment = Segment {
            ledger,
            epoch: shard.epoch,
            sequence: shard.log.next(),
            body: draft.body,
            replaced: draft.replaced.clone(),
        };
        shard.in_flight = Some(InFlight {
            sequence: segment.sequence,
            bytes: segment.body.len(),
            replaced: draft.replaced,
            written: draft.written,
            dropped: draft.dropped,
            commits_through,
        });
        Some(segment)
    }

    /// Marks the changes of `segment` as committed and updates the totals.
    pub fn confirm_segment(&mut self, segment: &Segment) {
        let Some(shard) = self.shards.get_mut(&segment.ledger) else { return };
        if shard.epoch != segment.epoch {
            return;
        }
        let Some(in_flight) = shard.in_flight.take() else { return };
        let jobs = in_flight.written.iter().map(|written| written.record.id.clone()).collect();
        shard.log.insert(in_flight.sequence, Stored { bytes: in_flight.bytes, jobs });
        for replaced in in_flight.replaced {
            shard.log.remove(replaced);
        }
        for written in in_flight.written {
            let Some(job) = self.jobs.get_mut(&written.record.id) else { continue };
            self.totals.count(job.committed.as_ref(), &written);
            commit_job(shard, job, written, in_flight.sequence);
        }
        shard.committed = in_flight.commits_through;
        for id in in_flight.dropped {
            if self.jobs.get(&id).is_some_and(|job| job.expired && job.dirty_at.is_none()) {
                self.jobs.remove(&id);
            }
        }
    }
}

fn commit_job(shard: &mut Shard, job: &mut Job, written: Written, sequence: u64) {
    shard.live_bytes -= job.live_bytes();
    if written.has_spec {
        job.spec_at = Location { segment: sequence, bytes: written.spec_bytes };
    }
    if written.has_status {
        job.status_at = Location { segment: sequence, bytes: written.status_bytes };
        job.committed = Some(written.record);
    }
    shard.live_bytes += job.live_bytes();
}

/// A segment under construction.
struct Draft {
    body: String,
    written: Vec<Written>,
    positions: Vec<u64>,
    replaced: Vec<u64>,
    dropped: Vec<Name>,
}

impl Draft {
    fn new(shard: &Shard) -> Self {
        let body = encode(&Header { epoch: shard.epoch });
        Self {
            body,
            written: Vec::new(),
            positions: Vec::new(),
            replaced: Vec::new(),
            dropped: Vec::new(),
        }
    }

    /// Adds changed jobs, oldest change first, up to `limit` bytes but at least one job.
    fn add_changes(&mut self, shard: &Shard, jobs: &BTreeMap<Name, Job>, limit: usize) {
        for (position, id) in &shard.dirty {
            let Some(job) = jobs.get(id) else { continue };
            let (line, written) = encode_job(job, job.spec_at.segment == 0, true);
            if !self.written.is_empty() && self.body.len() + line.len() > limit {
                return;
            }
            self.push(&line, written);
            self.positions.push(*position);
        }
    }

    /// Moves live lines out of the oldest segments while the log is too long.
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
        for (sequence, stored) in shard.log.segments().take(MAX_REPLACED_SEGMENTS) {
            let segments = shard.log.len() - self.replaced.len() + 1;
            if bytes + self.body.len() <= allowed_bytes && segments <= allowed_segments {
                return;
            }
            let moved = self.live_lines(sequence, stored, jobs);
            let moved_bytes: usize = moved.iter().map(|(line, _)| line.len()).sum();
            if self.body.len() + moved_bytes > 2 * segment_bytes {
                return;
            }
            for (line, written) in moved {
                self.push(&line, written);
            }
            let expired = |id: &&Name| {
                jobs.get(*id).is_some_and(|job| job.expired && job.spec_at.segment == sequence)
            };
            self.dropped.extend(stored.jobs.iter().filter(expired).cloned());
            self.replaced.push(sequence);
            bytes -= stored.bytes;
        }
    }

    /// Returns the parts of jobs whose newest version is in a stored segment and not in this draft.
    fn live_lines(
        &self,
        sequence: u64,
        stored: &Stored,
        jobs: &BTreeMap<Name, Job>,
    ) -> Vec<(String, Written)> {
        let mut moved: Vec<(String, Written)> = Vec::new();
        for id in &stored.jobs {
            let Some(job) = jobs.get(id).filter(|job| !job.expired) else { continue };
            let done = moved.iter().any(|(_, written)| written.record.id == *id);
            let rewritten =
                self.written.iter().any(|written| written.record.id == *id && written.has_status);
            let has_spec = job.spec_at.segment == sequence;
            let has_status = job.status_at.segment == sequence && !rewritten;
            if !done && (has_spec || has_status) {
                moved.push(encode_job(job, has_spec, has_status));
            }
        }
        moved
    }

    fn push(&mut self, line: &str, written: Written) {
        self.body.push('\n');
        self.body.push_str(line);
        self.written.push(written);
    }
}

/// Encodes a job as a line, and describes what the line contains.
fn encode_job(job: &Job, has_spec: bool, has_status: bool) -> (String, Written) {
    let record = job.record.clone();
    let line = Line {
        id: record.id.clone(),
        creation: has_spec.then(|| Creation::of(&record)),
        progress: has_status.then(|| Progress::of(&record, job.checkpoint_used)),
    };
    let text = encode(&line);
    let (spec_bytes, status_bytes) = sizes(&line, text.len());
    (text, Written { record, has_spec, has_status, spec_bytes, status_bytes })
}

/// Splits the bytes of a line between the specification and the status.
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

/// Replays the segments of a ledger: returns its jobs and fills the shard's log.
pub(super) fn replay(
    ledger: u32,
    segments: &[(u64, String)],
    shard: &mut Shard,
) -> Result<Vec<Job>> {
    let mut replayed: BTreeMap<Name, Replayed> = BTreeMap::new();
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
            let replayed = replayed.entry(line.id).or_default();
            if let Some(creation) = line.creation {
                replayed.creation = Some((creation, Location { segment: *sequence, bytes: spec }));
            }
            if let Some(progress) = line.progress {
                replayed.progress =
                    Some((progress, Location { segment: *sequence, bytes: status }));
            }
        }
        shard.log.insert(*sequence, stored);
    }
    let jobs: Vec<Job> =
        replayed.into_iter().filter_map(|(id, replayed)| replayed.job(id)).collect();
    shard.live_bytes = jobs.iter().map(Job::live_bytes).sum();
    Ok(jobs)
}

/// The newest parts of a job found in the log.
#[derive(Default)]
struct Replayed {
    creation: Option<(Creation, Location)>,
    progress: Option<(Progress, Location)>,
}

impl Replayed {
    /// Builds the job; returns `None` if compaction dropped its specification because the job is
    /// past its retention.
    fn job(self, id: Name) -> Option<Job> {
        let (creation, spec_at) = self.creation?;
        let (progress, status_at) = self.progress?;
        let checkpoint_used = progress.checkpoint_used;
        let record = creation.record(id, progress);
        let committed = Some(record.clone());
        Some(Job { committed, spec_at, status_at, checkpoint_used, ..Job::new(record) })
    }
}

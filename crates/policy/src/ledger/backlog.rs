//! The queue of waiting jobs, in grant order.

use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Waiting time that outweighs one step of priority, milliseconds.
const AGING_MS: u64 = 10_000;
/// Number of jobs per caller that are checked against a worker's free capacity in one selection.
const SCAN_LIMIT: usize = 16;

/// Sort key of a job within its caller's queue; the lowest rank is granted first.
type Rank = (u64, Name);

/// Waiting jobs: urgent jobs first, then callers by their number of running tasks, then by
/// priority with aging.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    urgent: Lane,
    normal: Lane,
    waiting: BTreeMap<Name, usize>,
    len: usize,
}

type Lane = BTreeMap<Name, BTreeSet<Rank>>;

impl Backlog {
    /// Returns the number of waiting jobs.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting jobs of `caller`.
    pub(super) fn waiting(&self, caller: &Name) -> usize {
        self.waiting.get(caller).copied().unwrap_or(0)
    }

    /// Adds a job.
    pub(super) fn insert(&mut self, record: &Record) {
        let caller = record.spec.caller.clone();
        if self.lane(&record.spec).entry(caller.clone()).or_default().insert(rank(record)) {
            self.len += 1;
            *self.waiting.entry(caller).or_default() += 1;
        }
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, record: &Record) {
        let caller = &record.spec.caller;
        let lane = self.lane(&record.spec);
        let Some(jobs) = lane.get_mut(caller) else { return };
        if !jobs.remove(&rank(record)) {
            return;
        }
        if jobs.is_empty() {
            lane.remove(caller);
        }
        self.len -= 1;
        if let Some(waiting) = self.waiting.get_mut(caller) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(caller);
            }
        }
    }

    /// Returns the next job that `fits`; `usage` returns the number of tasks that a caller runs.
    pub(super) fn select(
        &self,
        usage: impl Fn(&Name) -> usize,
        fits: impl Fn(&Name) -> bool,
    ) -> Option<Name> {
        [&self.urgent, &self.normal].into_iter().find_map(|lane| first_fit(lane, &usage, &fits))
    }

    fn lane(&mut self, spec: &Spec) -> &mut Lane {
        if spec.priority >= Spec::URGENT { &mut self.urgent } else { &mut self.normal }
    }
}

fn first_fit(
    lane: &Lane,
    usage: impl Fn(&Name) -> usize,
    fits: impl Fn(&Name) -> bool,
) -> Option<Name> {
    let mut callers: Vec<_> = lane.iter().collect();
    callers.sort_by_key(|(caller, _)| usage(caller));
    callers.into_iter().find_map(|(_, jobs)| {
        jobs.iter().take(SCAN_LIMIT).map(|(_, id)| id).find(|id| fits(id)).cloned()
    })
}

fn rank(record: &Record) -> Rank {
    let penalty_ms = u64::from(u8::MAX - record.spec.priority) * AGING_MS;
    (record.submitted_unix_ms.saturating_add(penalty_ms), record.id.clone())
}

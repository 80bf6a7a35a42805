//! A worker as the owner of jobs knows it.

use super::{Report, Settings};
use crate::injected::{self, Fault};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;

/// The largest number of doublings of the time set aside.
const ASIDE_DOUBLINGS: u32 = 5;

/// A worker that reported here.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    /// The incarnation and sequence of the last report that was taken.
    pub(super) last: Option<(u64, u64)>,
    pub(super) boot: u64,
    pub(super) kinds: Vec<Name>,
    pub(super) capacity: Bundle,
    /// What batch work may still take, less what was granted since.
    pub(super) room: Bundle,
    pub(super) leaving: bool,
    /// When every task lease that was renewed here has surely passed.
    pub(super) lease_end: Time,
    /// When it is forgotten unless it reports again.
    pub(super) forgotten_at: Time,
    /// Failures since the last task that ended well.
    pub(super) failures: u32,
    /// Until when it gets no work because of its failures.
    pub(super) aside_until: Time,
}

impl Worker {
    pub(super) fn new(report: &Report) -> Self {
        Self {
            last: None,
            boot: report.boot,
            kinds: Vec::new(),
            capacity: Bundle::default(),
            room: Bundle::default(),
            leaving: false,
            lease_end: Time::ZERO,
            forgotten_at: Time::ZERO,
            failures: 0,
            aside_until: Time::ZERO,
        }
    }

    /// Whether `report` is newer than every one taken before.
    pub(super) fn precedes(&self, report: &Report) -> bool {
        self.last < Some((report.incarnation, report.sequence))
    }

    /// Takes over what `report` says of the worker itself.
    pub(super) fn refresh(&mut self, report: &Report, settings: &Settings, now: Time) {
        self.last = Some((report.incarnation, report.sequence));
        self.boot = report.boot;
        self.kinds.clone_from(&report.kinds);
        self.capacity = report.capacity;
        self.room = report.room;
        self.leaving = report.leaving;
        self.lease_end = match injected::is_on(Fault::LeaseEndsEarly) {
            true => now.after(settings.task_lease / 10),
            false => now.after(settings.lease_wait()),
        };
        self.forgotten_at = now.after(settings.worker_memory);
    }

    /// Whether it serves `kind`.
    pub(super) fn serves(&self, kind: &Name) -> bool {
        self.kinds.is_empty() || self.kinds.contains(kind)
    }

    /// For how long it is set aside after its last failure.
    pub(super) fn aside_end(&self, settings: &Settings, now: Time) -> Time {
        let doublings = self.failures.saturating_sub(settings.aside_failures).min(ASIDE_DOUBLINGS);
        now.after(settings.aside_span * (1 << doublings))
    }
}

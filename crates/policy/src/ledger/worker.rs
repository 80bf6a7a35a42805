//! The owner's state of a worker.

use super::{Report, Settings};
use crate::injected::{self, Fault};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;

/// Maximum number of doublings of the ejection duration.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// A worker that has reported to this entry.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    /// The incarnation and sequence number of the last accepted report.
    pub(super) last_report: Option<(u64, u64)>,
    pub(super) boot: u64,
    pub(super) kinds: Vec<Name>,
    pub(super) capacity: Bundle,
    /// The resources free for batch work in the last report, less those granted since.
    pub(super) room: Bundle,
    pub(super) leaving: bool,
    /// Time at which every task lease that this entry renewed has certainly expired.
    pub(super) lease_end: Time,
    /// Time at which it is removed unless it reports again.
    pub(super) expires_at: Time,
    /// Failures since the last successful task.
    pub(super) failures: u32,
    /// Time until which it gets no work because of its failures.
    pub(super) ejected_until: Time,
}

impl Worker {
    pub(super) fn new(report: &Report) -> Self {
        Self {
            last_report: None,
            boot: report.boot,
            kinds: Vec::new(),
            capacity: Bundle::default(),
            room: Bundle::default(),
            leaving: false,
            lease_end: Time::ZERO,
            expires_at: Time::ZERO,
            failures: 0,
            ejected_until: Time::ZERO,
        }
    }

    /// Whether `report` is newer than every report accepted before.
    pub(super) fn is_outdated_by(&self, report: &Report) -> bool {
        self.last_report < Some((report.incarnation, report.sequence))
    }

    /// Applies the worker's own state from `report` and renews its lease end.
    pub(super) fn refresh(&mut self, report: &Report, settings: &Settings, now: Time) {
        self.last_report = Some((report.incarnation, report.sequence));
        self.boot = report.boot;
        self.kinds.clone_from(&report.kinds);
        self.capacity = report.capacity;
        self.room = report.room;
        self.leaving = report.leaving;
        self.lease_end = match injected::is_on(Fault::LeaseEndsEarly) {
            true => now.after(settings.task_lease / 10),
            false => now.after(settings.lease_wait()),
        };
        self.expires_at = now.after(settings.worker_retention);
    }

    /// Whether it serves the kind `kind`.
    pub(super) fn serves(&self, kind: &Name) -> bool {
        self.kinds.is_empty() || self.kinds.contains(kind)
    }

    /// Returns the end of the ejection that follows its last failure.
    pub(super) fn ejection_end(&self, settings: &Settings, now: Time) -> Time {
        let doublings =
            self.failures.saturating_sub(settings.ejection_failures).min(MAX_EJECTION_DOUBLINGS);
        now.after(settings.ejection_duration * (1 << doublings))
    }
}

//! The data of a target that the choice reads.
//!
//! Stored apart from [`Registration`](super::registration::Registration), so that a choice reads
//! little memory.

use super::{Load, Settings};
use shallotflow_core::time::Time;
use std::time::Duration;

const NO_DISTURBANCE_MILLI: u64 = 1_000;
const MAX_DISTURBANCE_MILLI: u64 = 100_000;
/// Weight of one new result in the failure rate, as a power of two: 1/8.
const FAILURE_SHIFT: u32 = 3;
const FAILED_SAMPLE_MILLI: u32 = 1_000;
/// Failure penalty of a target that fails every request, in service times.
const FAILURE_FACTOR: u64 = 8;

/// Service times that may pass without an answer from a busy target before a penalty applies.
const SILENCE_FACTOR: u64 = 4;

/// Load, outstanding requests and failure rate of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Stats {
    pub(super) generation: u32,
    pub(super) domain: u32,
    /// The load snapshot that was received last.
    pub(super) load: Load,
    /// Quick requests of other entries at the target, as of the last snapshot.
    pub(super) other_requests: u32,
    /// Time of the last snapshot.
    pub(super) snapshot_time: Time,
    /// Quick requests of this entry that are in flight.
    pub(super) outstanding: u32,
    /// Time of the last snapshot, or of the request that ended the last idle period, whichever is
    /// later.
    pub(super) silent_since: Time,
    /// Watchers of other entries at the target, as of the last report.
    pub(super) other_watchers: u32,
    /// Watchers of this entry at the target.
    pub(super) watchers: u32,
    /// Moving mean of the failure rate, thousandths.
    pub(super) failure_milli: u32,
    /// Whether the target is on probation, with at most one request in flight.
    pub(super) probing: bool,
}

/// Expected wait and total time of a request, microseconds; the total includes penalties.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) wait_us: u64,
    pub(super) total_us: u64,
}

impl Stats {
    /// Stores a load snapshot and attributes the requests that this entry did not send to other
    /// entries.
    pub(super) fn observe(&mut self, now: Time, load: Load) {
        self.snapshot_time = now;
        self.silent_since = self.silent_since.max(now);
        self.load = load;
        let present = load.running.saturating_add(load.queued);
        self.other_requests = present.saturating_sub(self.outstanding);
    }

    /// Adds a quick request to those in flight.
    pub(super) fn begin_request(&mut self, now: Time) {
        if self.outstanding == 0 {
            self.silent_since = self.silent_since.max(now);
        }
        self.outstanding += 1;
    }

    /// Updates the watchers of other entries from the target's total `count`.
    pub(super) fn observe_watchers(&mut self, count: u32) {
        self.other_watchers = count.saturating_sub(self.watchers);
    }

    /// Updates the failure rate with the result of a request.
    pub(super) fn record_result(&mut self, failed: bool) {
        let sample = if failed { FAILED_SAMPLE_MILLI } else { 0 };
        let kept = self.failure_milli - (self.failure_milli >> FAILURE_SHIFT);
        self.failure_milli = kept + (sample >> FAILURE_SHIFT);
    }

    /// Watchers of all entries at the target.
    pub(super) fn total_watchers(&self) -> u32 {
        self.other_watchers.saturating_add(self.watchers)
    }

    /// Estimated number of quick requests at the target now.
    ///
    /// The queued requests of other entries are assumed to drain at the service rate since the
    /// last snapshot.
    fn estimated_requests(&self, now: Time, service_us: u64) -> u64 {
        let slots = u64::from(self.load.slots.max(1));
        let others = u64::from(self.other_requests);
        let elapsed = now.as_micros().saturating_sub(self.snapshot_time.as_micros());
        let drained = elapsed.saturating_mul(slots) / service_us.max(1);
        let waiting = others.saturating_sub(slots).saturating_sub(drained);
        others.min(slots) + waiting + u64::from(self.outstanding)
    }

    /// Expected cost of one more quick request.
    pub(super) fn cost(&self, now: Time, local: bool, settings: &Settings) -> Cost {
        let service = self.service_us(settings);
        let slots = u64::from(self.load.slots.max(1));
        let present = self.estimated_requests(now, service);
        let ahead = (present + 1).saturating_sub(slots);
        let wait_us = ahead * service / slots;
        // Without a queue, a target with more free slots suffers less disturbance.
        let occupancy = service * present.min(slots) / slots / 4;
        let failures = service * u64::from(self.failure_milli) * FAILURE_FACTOR / 1_000;
        let remote = if local { 0 } else { u64::from(settings.remote_us) };
        let silent = self.silence_us(now, service);
        Cost { wait_us, total_us: wait_us + service + occupancy + failures + remote + silent }
    }

    /// Time without an answer beyond [`SILENCE_FACTOR`] service times, microseconds.
    fn silence_us(&self, now: Time, service_us: u64) -> u64 {
        if self.outstanding == 0 {
            return 0;
        }
        let silent = now.as_micros().saturating_sub(self.silent_since.as_micros());
        silent.saturating_sub(service_us.saturating_mul(SILENCE_FACTOR))
    }

    fn service_us(&self, settings: &Settings) -> u64 {
        let reported = u64::from(self.load.service_us);
        let service = if reported == 0 { settings.prior_service_us.into() } else { reported };
        let slowdown = u64::from(self.load.disturbance_milli)
            .clamp(NO_DISTURBANCE_MILLI, MAX_DISTURBANCE_MILLI);
        service * slowdown / NO_DISTURBANCE_MILLI
    }
}

impl Cost {
    pub(super) fn wait(self) -> Duration {
        Duration::from_micros(self.wait_us)
    }

    pub(super) fn total(self) -> Duration {
        Duration::from_micros(self.total_us)
    }
}

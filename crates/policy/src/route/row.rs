//! The columns of a target that the choice reads.

use super::{Load, Settings};
use shallotflow_core::time::Time;
use std::time::Duration;

const NO_DISTURBANCE_MILLI: u64 = 1_000;
const LARGEST_DISTURBANCE_MILLI: u64 = 100_000;
/// Weight of one new result in the failure rate, as a power of two: 1/8.
const FAILURE_SHIFT: u32 = 3;
const CERTAIN_FAILURE_MILLI: u32 = 1_000;
/// A target that fails every request looks this many times slower than it is.
const FAILURE_FACTOR: u64 = 8;

/// A busy target is expected to answer something within this many service times.
const USUAL_SILENCE: u64 = 4;

/// What the choice reads of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Row {
    pub(super) generation: u32,
    pub(super) domain: u32,
    /// The last snapshot.
    pub(super) load: Load,
    /// Quick requests at the target that other entries sent, at the last snapshot.
    pub(super) others: u32,
    /// When that was.
    pub(super) observed: Time,
    /// Quick requests sent by this entry and not answered.
    pub(super) outstanding: u32,
    /// When it was last heard, or when the oldest unanswered request was sent if that is later.
    pub(super) heard: Time,
    /// Watchers that other entries hold there, at the last report.
    pub(super) other_watchers: u32,
    /// Watchers that this entry holds there.
    pub(super) watchers: u32,
    /// Recent share of failures, thousandths.
    pub(super) failure_milli: u32,
    /// Whether it gets one request at a time, to prove itself.
    pub(super) probing: bool,
}

/// How long a request is expected to wait and to take, microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) wait_us: u64,
    pub(super) total_us: u64,
}

impl Row {
    /// Takes a snapshot: what it counts beyond our own requests belongs to other entries.
    pub(super) fn observe(&mut self, now: Time, load: Load) {
        self.observed = now;
        self.heard = self.heard.max(now);
        self.load = load;
        let present = load.running.saturating_add(load.queued);
        self.others = present.saturating_sub(self.outstanding);
    }

    /// Counts a quick request that is being sent.
    pub(super) fn send(&mut self, now: Time) {
        if self.outstanding == 0 {
            self.heard = self.heard.max(now);
        }
        self.outstanding += 1;
    }

    /// Takes the number of watchers that the target holds.
    pub(super) fn observe_watchers(&mut self, present: u32) {
        self.other_watchers = present.saturating_sub(self.watchers);
    }

    /// Takes the result of a request.
    pub(super) fn record(&mut self, failed: bool) {
        let sample = if failed { CERTAIN_FAILURE_MILLI } else { 0 };
        let kept = self.failure_milli - (self.failure_milli >> FAILURE_SHIFT);
        self.failure_milli = kept + (sample >> FAILURE_SHIFT);
    }

    /// Watchers held there.
    pub(super) fn held(&self) -> u32 {
        self.other_watchers.saturating_add(self.watchers)
    }

    /// Quick requests there: those that other entries left waiting drain as time passes.
    fn present(&self, now: Time, service_us: u64) -> u64 {
        let slots = u64::from(self.load.slots.max(1));
        let others = u64::from(self.others);
        let elapsed = now.as_micros().saturating_sub(self.observed.as_micros());
        let drained = elapsed.saturating_mul(slots) / service_us.max(1);
        let waiting = others.saturating_sub(slots).saturating_sub(drained);
        others.min(slots) + waiting + u64::from(self.outstanding)
    }

    /// What one more quick request is expected to cost.
    pub(super) fn cost(&self, now: Time, local: bool, settings: &Settings) -> Cost {
        let service = self.service_us(settings);
        let slots = u64::from(self.load.slots.max(1));
        let present = self.present(now, service);
        let ahead = (present + 1).saturating_sub(slots);
        let wait_us = ahead * service / slots;
        // Of two targets without a queue, the one with more free slots is less disturbed.
        let crowding = service * present.min(slots) / slots / 4;
        let failing = service * u64::from(self.failure_milli) * FAILURE_FACTOR / 1_000;
        let remote = if local { 0 } else { u64::from(settings.remote_us) };
        let silent = self.silence_us(now, service);
        Cost { wait_us, total_us: wait_us + service + crowding + failing + remote + silent }
    }

    /// How much longer than usual the target has left requests unanswered.
    fn silence_us(&self, now: Time, service_us: u64) -> u64 {
        if self.outstanding == 0 {
            return 0;
        }
        let silent = now.as_micros().saturating_sub(self.heard.as_micros());
        silent.saturating_sub(service_us.saturating_mul(USUAL_SILENCE))
    }

    fn service_us(&self, settings: &Settings) -> u64 {
        let reported = u64::from(self.load.service_us);
        let service = if reported == 0 { settings.prior_service_us.into() } else { reported };
        let slowdown = u64::from(self.load.disturbance_milli)
            .clamp(NO_DISTURBANCE_MILLI, LARGEST_DISTURBANCE_MILLI);
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

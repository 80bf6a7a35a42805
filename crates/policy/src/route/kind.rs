//! The targets of one kind.

use shallotflow_core::name::Name;
use std::time::Duration;

/// Weight of one new latency in the moving mean, as a power of two: 1/64.
const LATENCY_SHIFT: u32 = 6;

/// Targets and mean latency of one kind.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) name: Name,
    /// Indices of the eligible targets, unordered.
    pub(super) eligible: Vec<u32>,
    /// Number of targets that announce the kind, eligible or not.
    pub(super) members: usize,
    /// Number of ejected targets that announce the kind.
    pub(super) ejected: usize,
    /// Moving mean of the latency of its requests, microseconds; 0 before the first one.
    pub(super) mean_latency_us: u64,
}

impl Kind {
    /// Creates a kind without members.
    pub(super) fn new(name: Name) -> Self {
        Self { name, eligible: Vec::new(), members: 0, ejected: 0, mean_latency_us: 0 }
    }

    /// Updates the mean latency with one request.
    pub(super) fn record_latency(&mut self, latency: Duration) {
        let sample = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX >> LATENCY_SHIFT);
        let old = if self.mean_latency_us == 0 { sample } else { self.mean_latency_us };
        self.mean_latency_us = old - (old >> LATENCY_SHIFT) + (sample >> LATENCY_SHIFT);
    }

    /// Whether one more target may be ejected without exceeding `share_milli` thousandths.
    pub(super) fn may_eject(&self, share_milli: u32) -> bool {
        let most = self.members * share_milli as usize / 1_000;
        // With three or more members, one may always be ejected, even above the share.
        let most = if self.members >= 3 { most.max(1) } else { most };
        self.ejected < most
    }
}

/// Position of a target in the list of a kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Membership {
    /// Index of the kind in [`Kinds`](super::kinds::Kinds).
    pub(super) kind: usize,
    /// Index in [`Kind::eligible`]; undefined while the target is not eligible.
    pub(super) position: usize,
}

//! The targets of one kind.

use shallotflow_core::name::Name;
use std::time::Duration;

/// Weight of one new latency in the moving mean, as a power of two: 1/64.
const USUAL_SHIFT: u32 = 6;

/// The targets of one kind that may be chosen.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) name: Name,
    /// Indices of the targets that may be chosen, in no order.
    pub(super) eligible: Vec<u32>,
    /// Targets that announce the kind, eligible or not.
    pub(super) members: usize,
    /// Targets that announce the kind and are set aside.
    pub(super) ejected: usize,
    /// Moving mean of the time that its requests take, microseconds.
    pub(super) usual_us: u64,
}

impl Kind {
    /// A kind without members.
    pub(super) fn new(name: Name) -> Self {
        Self { name, eligible: Vec::new(), members: 0, ejected: 0, usual_us: 0 }
    }

    /// Takes the time that a request took.
    pub(super) fn learn(&mut self, latency: Duration) {
        let sample = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX >> USUAL_SHIFT);
        let old = if self.usual_us == 0 { sample } else { self.usual_us };
        self.usual_us = old - (old >> USUAL_SHIFT) + (sample >> USUAL_SHIFT);
    }

    /// Whether one more target may be set aside.
    pub(super) fn may_eject(&self, share_milli: u32) -> bool {
        let most = self.members * share_milli as usize / 1_000;
        // Of three targets one may go, even when that is more than the share.
        let most = if self.members >= 3 { most.max(1) } else { most };
        self.ejected < most
    }
}

/// Where a target stands in the list of a kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Membership {
    pub(super) kind: usize,
    /// Its position among the eligible ones; meaningless while it is not eligible.
    pub(super) position: usize,
}

//! A fake of the platform's store: leases, ledger owners and segments.

use super::packet::{Answer, Call};
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::Segment;
use std::collections::BTreeMap;
use std::time::Duration;

/// The owner of a ledger.
#[derive(Clone, Copy, Debug)]
struct Owner {
    lease: u64,
    epoch: u64,
}

/// The store; every call is atomic.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    leases: BTreeMap<u64, Time>,
    owners: BTreeMap<u32, Owner>,
    segments: BTreeMap<(u32, u64), Segment>,
}

impl Store {
    /// Length of a lease, counted from when the store received its last renewal.
    pub(crate) const LEASE: Duration = Duration::from_secs(5);

    /// Handles a request at `now`, by the store's own clock.
    pub(crate) fn call(&mut self, call: &Call, now: Time) -> Answer {
        self.expire(now);
        match call {
            Call::Renew { lease, sent } => self.renew(*lease, *sent, now),
            Call::Claim { ledger, lease } => self.claim(*ledger, *lease),
            Call::Write(segment) => self.write(segment),
        }
    }

    /// Returns the ledgers that the holder of `lease` may claim: those without an owner, and its
    /// own.
    pub(crate) fn claimable(&mut self, ledgers: u32, lease: u64, now: Time) -> Vec<u32> {
        self.expire(now);
        let others = |ledger: &u32| self.owners.get(ledger).is_some_and(|o| o.lease != lease);
        (0..ledgers).filter(|ledger| !others(ledger)).collect()
    }

    /// Creates a lease and returns its number.
    pub(crate) fn next_lease(&mut self, now: Time) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, now.after(Self::LEASE));
        self.revision
    }

    fn expire(&mut self, now: Time) {
        self.leases.retain(|_, end| !end.passed(now));
        let leases = &self.leases;
        self.owners.retain(|_, owner| leases.contains_key(&owner.lease));
    }

    fn renew(&mut self, lease: u64, sent: Time, now: Time) -> Answer {
        let Some(end) = self.leases.get_mut(&lease) else { return Answer::LeaseGone { lease } };
        *end = now.after(Self::LEASE);
        Answer::Renewed { lease, sent }
    }

    fn claim(&mut self, ledger: u32, lease: u64) -> Answer {
        if !self.leases.contains_key(&lease) {
            return Answer::LeaseGone { lease };
        }
        self.revision += 1;
        let owner = *self.owners.entry(ledger).or_insert(Owner { lease, epoch: self.revision });
        if owner.lease != lease {
            return Answer::Deposed { ledger, epoch: 0 };
        }
        let range = self.segments.range((ledger, 0)..(ledger + 1, 0));
        let segments = range.map(|((_, sequence), segment)| (*sequence, segment.body.clone()));
        let segments = segments.collect();
        Answer::Claimed { ledger, lease, epoch: owner.epoch, segments }
    }

    fn write(&mut self, segment: &Segment) -> Answer {
        let key = (segment.ledger, segment.sequence);
        let owner = self.owners.get(&segment.ledger);
        let owned = owner.is_some_and(|owner| owner.epoch == segment.epoch);
        if let Some(stored) = self.segments.get(&key) {
            return match stored == segment {
                true => Answer::Written(segment.clone()),
                false => Answer::Deposed { ledger: segment.ledger, epoch: segment.epoch },
            };
        }
        if !owned {
            return Answer::Deposed { ledger: segment.ledger, epoch: segment.epoch };
        }
        for replaced in &segment.replaced {
            self.segments.remove(&(segment.ledger, *replaced));
        }
        self.segments.insert(key, segment.clone());
        Answer::Written(segment.clone())
    }
}

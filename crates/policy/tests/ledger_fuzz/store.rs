//! A fake store: ledger owners under leases, and segments that are written once.

use shallotflow_core::name::Name;
use shallotflow_policy::ledger::line::{Line, Progress};
use shallotflow_policy::ledger::{Segment, id};
use std::collections::BTreeMap;

/// The value of a ledger's owner key.
#[derive(Clone, Debug)]
struct Owner {
    name: Name,
    session: u64,
    epoch: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    owners: BTreeMap<u32, Owner>,
    leases: BTreeMap<u64, u64>,
    segments: BTreeMap<(u32, u64), String>,
    /// Writes that are delayed in the network.
    pub(crate) delayed: Vec<Segment>,
}

impl Store {
    /// Removes expired leases and the owner keys attached to them.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.leases.retain(|_, end_ms| *end_ms > now_ms);
        let leases = &self.leases;
        self.owners.retain(|_, owner| leases.contains_key(&owner.session));
    }

    /// Iterates over the end times of all leases.
    pub(crate) fn lease_ends(&self) -> impl Iterator<Item = u64> {
        self.leases.values().copied()
    }

    /// Grants a lease and returns its number.
    pub(crate) fn grant(&mut self, end_ms: u64) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, end_ms);
        self.revision
    }

    /// Renews a lease; returns `false` if it no longer exists.
    pub(crate) fn renew(&mut self, session: u64, end_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&session) else { return false };
        *lease = end_ms;
        true
    }

    /// Whether a lease exists.
    pub(crate) fn has_lease(&self, session: u64) -> bool {
        self.leases.contains_key(&session)
    }

    /// Revokes a lease and removes the owner keys attached to it.
    pub(crate) fn revoke(&mut self, session: u64) {
        self.leases.remove(&session);
        self.owners.retain(|_, owner| owner.session != session);
    }

    /// Returns the newest stored status of a job.
    pub(crate) fn progress(&self, job: &Name) -> Option<Progress> {
        let ledger = id::ledger(job)?;
        let segments = self.segments.range((ledger, 0)..=(ledger, u64::MAX)).rev();
        segments.flat_map(|(_, body)| body.lines().skip(1)).find_map(|text| {
            let line: Line = serde_json::from_str(text).expect("a readable line");
            line.progress.filter(|_| line.id == *job)
        })
    }

    /// Makes a session the owner of a ledger that has none; returns the epoch.
    pub(crate) fn claim(&mut self, ledger: u32, name: &Name, session: u64) -> Option<u64> {
        if self.owners.contains_key(&ledger) || !self.leases.contains_key(&session) {
            return None;
        }
        self.revision += 1;
        let owner = Owner { name: name.clone(), session, epoch: self.revision };
        self.owners.insert(ledger, owner);
        Some(self.revision)
    }

    /// Deletes the owner key if it still has `epoch`.
    pub(crate) fn release(&mut self, ledger: u32, epoch: u64) {
        if self.owners.get(&ledger).is_some_and(|owner| owner.epoch == epoch) {
            self.owners.remove(&ledger);
        }
    }

    /// Applies a write if its conditions hold; returns whether it was applied.
    pub(crate) fn write(&mut self, segment: &Segment) -> bool {
        let key = (segment.ledger, segment.sequence);
        let owned = self.epoch(segment.ledger) == Some(segment.epoch);
        if !owned || self.segments.contains_key(&key) {
            return false;
        }
        self.segments.insert(key, segment.body.clone());
        for replaced in &segment.replaced {
            self.segments.remove(&(segment.ledger, *replaced));
        }
        true
    }

    /// Whether the store has this segment with the same body.
    pub(crate) fn holds(&self, segment: &Segment) -> bool {
        self.segments.get(&(segment.ledger, segment.sequence)) == Some(&segment.body)
    }

    /// Returns the epoch of a ledger's owner.
    pub(crate) fn epoch(&self, ledger: u32) -> Option<u64> {
        self.owners.get(&ledger).map(|owner| owner.epoch)
    }

    /// Returns the names of the owners by ledger.
    pub(crate) fn owners(&self) -> BTreeMap<u32, Name> {
        self.owners.iter().map(|(ledger, owner)| (*ledger, owner.name.clone())).collect()
    }

    /// Returns the segments of a ledger.
    pub(crate) fn segments(&self, ledger: u32) -> Vec<(u64, String)> {
        let of_ledger = self.segments.range((ledger, 0)..=(ledger, u64::MAX));
        of_ledger.map(|((_, sequence), body)| (*sequence, body.clone())).collect()
    }
}

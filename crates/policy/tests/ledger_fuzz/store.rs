//! A fake of the store: owners under leases, and segments written once.

use shallotflow_core::name::Name;
use shallotflow_policy::ledger::line::{Line, Progress};
use shallotflow_policy::ledger::{Segment, id};
use std::collections::BTreeMap;

/// The owner's key of a ledger.
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
    /// Writes that are still on their way.
    pub(crate) late: Vec<Segment>,
}

impl Store {
    /// Ends the leases whose time is up, with the owners' keys.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.leases.retain(|_, end_ms| *end_ms > now_ms);
        let leases = &self.leases;
        self.owners.retain(|_, owner| leases.contains_key(&owner.session));
    }

    /// When its leases end.
    pub(crate) fn lease_ends(&self) -> impl Iterator<Item = u64> {
        self.leases.values().copied()
    }

    /// Takes a lease.
    pub(crate) fn grant(&mut self, end_ms: u64) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, end_ms);
        self.revision
    }

    /// Renews a lease; returns whether it is still there.
    pub(crate) fn renew(&mut self, session: u64, end_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&session) else { return false };
        *lease = end_ms;
        true
    }

    /// Whether a lease is there.
    pub(crate) fn has_lease(&self, session: u64) -> bool {
        self.leases.contains_key(&session)
    }

    /// Ends a lease with its owners' keys.
    pub(crate) fn revoke(&mut self, session: u64) {
        self.leases.remove(&session);
        self.owners.retain(|_, owner| owner.session != session);
    }

    /// What the segments say last of a job.
    pub(crate) fn progress(&self, job: &Name) -> Option<Progress> {
        let ledger = id::ledger(job)?;
        let segments = self.segments.range((ledger, 0)..=(ledger, u64::MAX)).rev();
        segments.flat_map(|(_, body)| body.lines().skip(1)).find_map(|text| {
            let line: Line = serde_json::from_str(text).expect("a readable line");
            line.progress.filter(|_| line.id == *job)
        })
    }

    /// Makes a session the owner of a ledger without one; returns the epoch.
    pub(crate) fn claim(&mut self, ledger: u32, name: &Name, session: u64) -> Option<u64> {
        if self.owners.contains_key(&ledger) || !self.leases.contains_key(&session) {
            return None;
        }
        self.revision += 1;
        let owner = Owner { name: name.clone(), session, epoch: self.revision };
        self.owners.insert(ledger, owner);
        Some(self.revision)
    }

    /// Deletes the owner's key if it still has `epoch`.
    pub(crate) fn release(&mut self, ledger: u32, epoch: u64) {
        if self.owners.get(&ledger).is_some_and(|owner| owner.epoch == epoch) {
            self.owners.remove(&ledger);
        }
    }

    /// Carries out a write; returns whether it was applied.
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

    /// Whether a segment is in the store as it was written.
    pub(crate) fn holds(&self, segment: &Segment) -> bool {
        self.segments.get(&(segment.ledger, segment.sequence)) == Some(&segment.body)
    }

    /// The epoch of a ledger's owner.
    pub(crate) fn epoch(&self, ledger: u32) -> Option<u64> {
        self.owners.get(&ledger).map(|owner| owner.epoch)
    }

    /// The owners' names.
    pub(crate) fn owners(&self) -> BTreeMap<u32, Name> {
        self.owners.iter().map(|(ledger, owner)| (*ledger, owner.name.clone())).collect()
    }

    /// The segments of a ledger.
    pub(crate) fn segments(&self, ledger: u32) -> Vec<(u64, String)> {
        let of_ledger = self.segments.range((ledger, 0)..=(ledger, u64::MAX));
        of_ledger.map(|((_, sequence), body)| (*sequence, body.clone())).collect()
    }
}

//! The table of members.

use super::{Announcement, Error, Result, Settings};
use crate::injected::{self, Fault};
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;

/// A target that is alive.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest announcement.
    pub announcement: Announcement,
    /// Arrival time of the newest announcement.
    pub last_report: Time,
    /// Time of removal unless another report arrives.
    pub expires: Time,
}

/// Live targets, by worker.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    members: HashMap<Name, Member>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(settings: Settings) -> Self {
        Self { settings, members: HashMap::new() }
    }

    /// Applies the announcement of a report and returns the member.
    ///
    /// # Errors
    ///
    /// Fails if this or a newer report of the same worker was applied before.
    pub fn apply_announcement(&mut self, now: Time, announcement: Announcement) -> Result<&Member> {
        let worker = announcement.target.worker.clone();
        if let Some(known) = self.members.get(&worker) {
            check_newer(&known.announcement, &announcement)?;
        }
        let expires = now.after(self.settings.heartbeat * self.settings.silent_beats);
        let member = Member { announcement, last_report: now, expires };
        Ok(self.members.entry(worker).insert_entry(member).into_mut())
    }

    /// Removes the targets whose deadline has passed and returns their workers.
    pub fn expire(&mut self, now: Time) -> Vec<Name> {
        let silent = self.members.iter().filter(|(_, member)| member.expires.passed(now));
        let silent: Vec<Name> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in &silent {
            self.members.remove(worker);
        }
        silent
    }

    /// Returns the member of `worker`.
    pub fn get(&self, worker: &str) -> Option<&Member> {
        self.members.get(worker)
    }

    /// Whether the total capacity of a member that serves `kind` covers `need`.
    pub fn could_hold(&self, kind: &str, need: &Bundle) -> bool {
        self.members.values().map(|member| &member.announcement).any(|announcement| {
            let mut kinds = announcement.target.kinds.iter();
            announcement.capacity.holds(need) && kinds.any(|served| &**served == kind)
        })
    }

    /// Iterates over the members, unordered.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Rejects an announcement that is not newer than the known one.
fn check_newer(known: &Announcement, given: &Announcement) -> Result<()> {
    let worker = || given.target.worker.clone();
    if given.incarnation < known.incarnation && !injected::is_on(Fault::OlderIncarnation) {
        return Err(Error::OlderIncarnation {
            worker: worker(),
            known: known.incarnation,
            given: given.incarnation,
        });
    }
    if given.incarnation == known.incarnation && given.sequence <= known.sequence {
        return Err(Error::OlderReport {
            worker: worker(),
            known: known.sequence,
            given: given.sequence,
        });
    }
    Ok(())
}

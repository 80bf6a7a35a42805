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
    /// What it said last.
    pub announcement: Announcement,
    /// When it said so.
    pub last_report: Time,
    /// When it is dropped unless it reports again.
    pub expires: Time,
}

/// The targets that are alive, by worker.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    members: HashMap<Name, Member>,
}

impl Table {
    /// An empty table.
    pub fn new(settings: Settings) -> Self {
        Self { settings, members: HashMap::new() }
    }

    /// Takes a report.
    ///
    /// # Errors
    ///
    /// Fails when a newer report of the same worker was taken before.
    pub fn apply_announcement(&mut self, now: Time, announcement: Announcement) -> Result<&Member> {
        let worker = announcement.target.worker.clone();
        if let Some(known) = self.members.get(&worker) {
            check(&known.announcement, &announcement)?;
        }
        let expires = now.after(self.settings.heartbeat * self.settings.silent_beats);
        let member = Member { announcement, last_report: now, expires };
        Ok(self.members.entry(worker).insert_entry(member).into_mut())
    }

    /// Drops the targets whose deadline has passed and names them.
    pub fn expire(&mut self, now: Time) -> Vec<Name> {
        let silent = self.members.iter().filter(|(_, member)| member.expires.passed(now));
        let silent: Vec<Name> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in &silent {
            self.members.remove(worker);
        }
        silent
    }

    /// The member of `worker`.
    pub fn get(&self, worker: &str) -> Option<&Member> {
        self.members.get(worker)
    }

    /// Whether a member that serves `kind` has the capacity for `need`.
    pub fn could_hold(&self, kind: &str, need: &Bundle) -> bool {
        self.members.values().map(|member| &member.announcement).any(|announcement| {
            let mut kinds = announcement.target.kinds.iter();
            announcement.capacity.holds(need) && kinds.any(|served| &**served == kind)
        })
    }

    /// The members in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

fn check(known: &Announcement, given: &Announcement) -> Result<()> {
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

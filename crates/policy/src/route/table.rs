//! The table of targets.

use super::kind::Membership;
use super::kinds::Kinds;
use super::registration::Registration;
use super::selection::Selection;
use super::stats::Stats;
use super::{Choice, Id, Load, Query, Settings, Target};
use foldhash::{HashMap, HashMapExt};
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Index of the entry's own failure domain.
const OWN_DOMAIN: u32 = 0;

/// The targets of an entry, in columns indexed by kind.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    /// Names of the failure domains; the entry's own comes first.
    domains: Vec<Name>,
    stats: Vec<Stats>,
    registrations: Vec<Option<Registration>>,
    free: Vec<u32>,
    by_worker: HashMap<Name, u32>,
    kinds: Kinds,
}

impl Table {
    /// Creates an empty table for an entry in the failure domain `domain`.
    pub fn new(settings: Settings, domain: Name) -> Self {
        Self {
            settings,
            domains: vec![domain],
            stats: Vec::new(),
            registrations: Vec::new(),
            free: Vec::new(),
            by_worker: HashMap::new(),
            kinds: Kinds::new(),
        }
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.by_worker.len()
    }

    /// Whether the table has no targets.
    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    /// Number of eligible targets of all kinds.
    pub fn eligible(&self) -> usize {
        self.count(Registration::is_eligible)
    }

    /// Number of targets that are leaving.
    pub fn leaving(&self) -> usize {
        self.count(|registration| registration.leaving)
    }

    /// Number of ejected targets.
    pub fn ejected(&self) -> usize {
        self.count(|registration| registration.ejected)
    }

    /// Iterates over the targets, unordered.
    pub fn ids(&self) -> impl Iterator<Item = Id> + '_ {
        self.by_worker.values().map(|&index| self.id(index))
    }

    /// Returns the target of `worker`.
    pub fn find(&self, worker: &str) -> Option<Id> {
        self.by_worker.get(worker).map(|&index| self.id(index))
    }

    /// Returns the target with `id`, or `None` after its removal.
    pub fn target(&self, id: Id) -> Option<&Target> {
        self.registration(id).map(|registration| &registration.target)
    }

    /// Returns the last load snapshot of the target.
    pub fn load(&self, id: Id) -> Option<Load> {
        self.stats(id).map(|stats| stats.load)
    }

    /// Number of quick requests of this entry that are in flight at the target.
    pub fn outstanding(&self, id: Id) -> u32 {
        self.stats(id).map_or(0, |stats| stats.outstanding)
    }

    /// Whether the target is neither leaving nor ejected.
    pub fn is_eligible(&self, id: Id) -> bool {
        self.registration(id).is_some_and(Registration::is_eligible)
    }

    /// Number of targets that announce `kind`, eligible or not.
    pub fn members(&self, kind: &str) -> usize {
        self.kinds.get(kind).map_or(0, |kind| kind.members)
    }

    /// Adds a target or replaces the earlier announcement of the same worker.
    ///
    /// The statistics are kept while the address stays the same.
    pub fn announce(&mut self, target: Target) -> Id {
        if let Some(id) = self.find(&target.worker) {
            if self.target(id) == Some(&target) {
                return id;
            }
            let same_address = self.target(id).is_some_and(|old| old.address == target.address);
            if same_address {
                self.replace(id, target);
                return id;
            }
            self.remove(id);
        }
        self.insert(target)
    }

    /// Removes a target; responses that arrive later are ignored.
    pub fn remove(&mut self, id: Id) {
        if self.registration(id).is_none() {
            return;
        }
        self.leave_kinds(id.index);
        let Some(registration) = self.registrations[id.index as usize].take() else { return };
        self.by_worker.remove(&registration.target.worker);
        let stats = &mut self.stats[id.index as usize];
        *stats = Stats { generation: stats.generation.wrapping_add(1), ..Stats::default() };
        self.free.push(id.index);
    }

    /// Sets whether a target is leaving; leaving targets are not chosen.
    pub fn set_leaving(&mut self, id: Id, leaving: bool) {
        self.update(id, |registration| registration.leaving = leaving);
    }

    /// Sets whether a target is ejected; ejected targets are not chosen.
    pub fn set_ejected(&mut self, id: Id, ejected: bool) {
        if self.is_ejected(id) == ejected || self.registration(id).is_none() {
            return;
        }
        self.update(id, |registration| registration.ejected = ejected);
        let Some(registration) = self.registrations[id.index as usize].as_ref() else { return };
        for membership in &registration.memberships {
            let kind = &mut self.kinds[membership.kind];
            kind.ejected = if ejected { kind.ejected + 1 } else { kind.ejected - 1 };
        }
    }

    /// Whether ejecting `id` keeps the ejected targets of each of its kinds within `share_milli`
    /// thousandths of the members; with three or more members, one may always be ejected.
    pub fn may_eject(&self, id: Id, share_milli: u32) -> bool {
        let Some(registration) = self.registration(id) else { return false };
        let mut kinds =
            registration.memberships.iter().map(|membership| &self.kinds[membership.kind]);
        kinds.all(|kind| kind.may_eject(share_milli))
    }

    /// Whether a target is on probation.
    pub fn is_probing(&self, id: Id) -> bool {
        self.stats(id).is_some_and(|stats| stats.probing)
    }

    /// Whether a target is ejected.
    pub fn is_ejected(&self, id: Id) -> bool {
        self.registration(id).is_some_and(|registration| registration.ejected)
    }

    /// Whether a target is leaving.
    pub fn is_leaving(&self, id: Id) -> bool {
        self.registration(id).is_some_and(|registration| registration.leaving)
    }

    /// Sets whether a target is on probation, with at most one request in flight.
    pub fn set_probing(&mut self, id: Id, probing: bool) {
        if let Some(stats) = self.stats_mut(id) {
            stats.probing = probing;
        }
    }

    /// Stores the load snapshot of a response or a report.
    pub fn observe(&mut self, now: Time, id: Id, load: Load) {
        if let Some(stats) = self.stats_mut(id) {
            stats.observe(now, load);
        }
    }

    /// Updates the watchers of other entries from the target's total `count`.
    pub fn observe_watchers(&mut self, id: Id, count: u32) {
        if let Some(stats) = self.stats_mut(id) {
            stats.observe_watchers(count);
        }
    }

    /// Adds a request to those in flight.
    pub fn begin_request(&mut self, now: Time, id: Id, class: Class) {
        let Some(stats) = self.stats_mut(id) else { return };
        match class {
            Class::Watch => stats.watchers += 1,
            Class::Quick | Class::Batch => stats.begin_request(now),
        }
    }

    /// Removes a request that is complete or abandoned from those in flight.
    pub fn end_request(&mut self, id: Id, class: Class) {
        let Some(stats) = self.stats_mut(id) else { return };
        match class {
            Class::Watch => stats.watchers = stats.watchers.saturating_sub(1),
            Class::Quick | Class::Batch => stats.outstanding = stats.outstanding.saturating_sub(1),
        }
    }

    /// Updates the failure rate of a target with the result of a request.
    pub fn record_result(&mut self, id: Id, failed: bool) {
        if let Some(stats) = self.stats_mut(id) {
            stats.record_result(failed);
        }
    }

    /// Updates the mean latency of `kind`, over all targets, with one request.
    pub fn record_latency(&mut self, kind: &str, latency: Duration) {
        if let Some(kind) = self.kinds.get_mut(kind) {
            kind.record_latency(latency);
        }
    }

    /// Moving mean of the latency of `kind`; zero before the first response.
    pub fn mean_latency(&self, kind: &str) -> Duration {
        let latency_us = self.kinds.get(kind).map_or(0, |kind| kind.mean_latency_us);
        Duration::from_micros(latency_us)
    }

    /// Chooses a target; returns `None` when the kind has no untried eligible target, or only ones
    /// that are busy on probation.
    pub fn choose(&self, now: Time, query: &Query<'_>, rng: &mut SmallRng) -> Option<Choice> {
        let selection = Selection {
            settings: &self.settings,
            stats: &self.stats,
            eligible: &self.kinds.get(query.kind)?.eligible,
            domain: OWN_DOMAIN,
            query,
            now,
        };
        let (index, cost) = selection.run(rng)?;
        Some(Choice { id: self.id(index), wait: cost.wait(), total: cost.total() })
    }

    fn insert(&mut self, target: Target) -> Id {
        let index = self.free.pop().unwrap_or_else(|| {
            self.stats.push(Stats::default());
            self.registrations.push(None);
            u32::try_from(self.stats.len() - 1).expect("fewer than 2^32 targets")
        });
        let domain = self.intern_domain(&target.domain);
        let stats = &mut self.stats[index as usize];
        *stats = Stats { generation: stats.generation, domain, ..Stats::default() };
        self.by_worker.insert(target.worker.clone(), index);
        self.registrations[index as usize] = Some(Registration::new(target));
        self.join_kinds(index);
        self.id(index)
    }

    fn replace(&mut self, id: Id, target: Target) {
        self.leave_kinds(id.index);
        self.stats[id.index as usize].domain = self.intern_domain(&target.domain);
        if let Some(registration) = self.registrations[id.index as usize].as_mut() {
            registration.target = target;
        }
        self.join_kinds(id.index);
    }

    fn update(&mut self, id: Id, update: impl FnOnce(&mut Registration)) {
        if self.registration(id).is_none() {
            return;
        }
        let Some(registration) = self.registrations[id.index as usize].as_mut() else { return };
        let before = registration.is_eligible();
        update(registration);
        let after = registration.is_eligible();
        match (before, after) {
            (true, false) => self.remove_eligible(id.index),
            (false, true) => self.add_eligible(id.index),
            _ => {}
        }
    }

    fn join_kinds(&mut self, index: u32) {
        let Some(registration) = self.registrations[index as usize].as_ref() else { return };
        let (eligible, ejected) = (registration.is_eligible(), registration.ejected);
        let mut names = registration.target.kinds.clone();
        names.sort_unstable();
        names.dedup();
        let kinds = names.iter().map(|name| self.kinds.add_member(name, ejected));
        let memberships = kinds.map(|kind| Membership { kind, position: 0 }).collect();
        if let Some(registration) = self.registrations[index as usize].as_mut() {
            registration.memberships = memberships;
        }
        if eligible {
            self.add_eligible(index);
        }
    }

    fn leave_kinds(&mut self, index: u32) {
        let Some(registration) = self.registrations[index as usize].as_ref() else { return };
        if registration.is_eligible() {
            self.remove_eligible(index);
        }
        let Some(registration) = self.registrations[index as usize].as_mut() else { return };
        let ejected = registration.ejected;
        for membership in std::mem::take(&mut registration.memberships) {
            self.kinds.remove_member(membership.kind, ejected);
        }
    }

    /// Adds a target to the list of eligible targets of each of its kinds.
    fn add_eligible(&mut self, index: u32) {
        let Some(registration) = self.registrations[index as usize].as_mut() else { return };
        for membership in &mut registration.memberships {
            let eligible = &mut self.kinds[membership.kind].eligible;
            membership.position = eligible.len();
            eligible.push(index);
        }
    }

    /// Removes a target from the list of eligible targets of each of its kinds.
    fn remove_eligible(&mut self, index: u32) {
        let Some(registration) = self.registrations[index as usize].as_ref() else { return };
        for Membership { kind, position } in registration.memberships.clone() {
            let eligible = &mut self.kinds[kind].eligible;
            eligible.swap_remove(position);
            let Some(&moved) = eligible.get(position) else { continue };
            self.reposition(moved, kind, position);
        }
    }

    fn reposition(&mut self, index: u32, kind: usize, position: usize) {
        let Some(registration) = self.registrations[index as usize].as_mut() else { return };
        let mut memberships = registration.memberships.iter_mut();
        if let Some(membership) = memberships.find(|membership| membership.kind == kind) {
            membership.position = position;
        }
    }

    fn intern_domain(&mut self, name: &Name) -> u32 {
        let known = self.domains.iter().position(|domain| domain == name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.clone());
            self.domains.len() - 1
        });
        u32::try_from(index).expect("fewer than 2^32 failure domains")
    }

    fn count(&self, predicate: impl Fn(&Registration) -> bool) -> usize {
        self.registrations.iter().flatten().filter(|registration| predicate(registration)).count()
    }

    fn id(&self, index: u32) -> Id {
        Id { index, generation: self.stats[index as usize].generation }
    }

    fn stats(&self, id: Id) -> Option<&Stats> {
        self.stats.get(id.index as usize).filter(|stats| stats.generation == id.generation)
    }

    fn stats_mut(&mut self, id: Id) -> Option<&mut Stats> {
        self.stats.get_mut(id.index as usize).filter(|stats| stats.generation == id.generation)
    }

    fn registration(&self, id: Id) -> Option<&Registration> {
        self.stats(id)?;
        self.registrations[id.index as usize].as_ref()
    }
}

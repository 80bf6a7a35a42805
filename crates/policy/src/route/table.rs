//! The table of targets.

use super::draw::Draw;
use super::kind::Membership;
use super::kinds::Kinds;
use super::place::Place;
use super::row::Row;
use super::{Choice, Id, Load, Query, Settings, Target};
use foldhash::{HashMap, HashMapExt};
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// The number of the entry's own failure domain.
const OWN_DOMAIN: u32 = 0;

/// The targets of an entry, in columns indexed by kind.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    /// The failure domains that targets name; the entry's own comes first.
    domains: Vec<Name>,
    rows: Vec<Row>,
    places: Vec<Option<Place>>,
    free: Vec<u32>,
    by_worker: HashMap<Name, u32>,
    kinds: Kinds,
}

impl Table {
    /// An empty table of an entry in `domain`.
    pub fn new(settings: Settings, domain: Name) -> Self {
        Self {
            settings,
            domains: vec![domain],
            rows: Vec::new(),
            places: Vec::new(),
            free: Vec::new(),
            by_worker: HashMap::new(),
            kinds: Kinds::new(),
        }
    }

    /// The number of targets.
    pub fn len(&self) -> usize {
        self.by_worker.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    /// The number of targets that may be chosen.
    pub fn eligible(&self) -> usize {
        self.count(Place::is_eligible)
    }

    /// The number of targets that are leaving.
    pub fn leaving(&self) -> usize {
        self.count(|place| place.leaving)
    }

    /// The number of targets that are set aside.
    pub fn ejected(&self) -> usize {
        self.count(|place| place.ejected)
    }

    /// The targets in no order.
    pub fn ids(&self) -> impl Iterator<Item = Id> + '_ {
        self.by_worker.values().map(|&index| self.id(index))
    }

    /// The target of `worker`.
    pub fn find(&self, worker: &str) -> Option<Id> {
        self.by_worker.get(worker).map(|&index| self.id(index))
    }

    /// The target at `id`, unless it is gone.
    pub fn target(&self, id: Id) -> Option<&Target> {
        self.place(id).map(|place| &place.target)
    }

    /// The last load of the target at `id`.
    pub fn load(&self, id: Id) -> Option<Load> {
        self.row(id).map(|row| row.load)
    }

    /// Quick requests that this entry has sent to `id` and that are not answered.
    pub fn outstanding(&self, id: Id) -> u32 {
        self.row(id).map_or(0, |row| row.outstanding)
    }

    /// Whether the target at `id` may be chosen.
    pub fn is_eligible(&self, id: Id) -> bool {
        self.place(id).is_some_and(Place::is_eligible)
    }

    /// How many targets announce `kind`, eligible or not.
    pub fn members(&self, kind: &str) -> usize {
        self.kinds.get(kind).map_or(0, |kind| kind.members)
    }

    /// Adds a target, or replaces what the target of the same worker announced before.
    ///
    /// Counts of outstanding requests survive while the address stays the same.
    pub fn announce(&mut self, target: Target) -> Id {
        if let Some(id) = self.find(&target.worker) {
            if self.target(id) == Some(&target) {
                return id;
            }
            let same_address = self.target(id).is_some_and(|old| old.address == target.address);
            if same_address {
                self.rename(id, target);
                return id;
            }
            self.remove(id);
        }
        self.insert(target)
    }

    /// Removes a target; answers that are still to come are ignored.
    pub fn remove(&mut self, id: Id) {
        if self.place(id).is_none() {
            return;
        }
        self.leave_kinds(id.index);
        let Some(place) = self.places[id.index as usize].take() else { return };
        self.by_worker.remove(&place.target.worker);
        let row = &mut self.rows[id.index as usize];
        *row = Row { generation: row.generation.wrapping_add(1), ..Row::default() };
        self.free.push(id.index);
    }

    /// Sets whether a target is leaving; a leaving target is never chosen.
    pub fn set_leaving(&mut self, id: Id, leaving: bool) {
        self.change(id, |place| place.leaving = leaving);
    }

    /// Sets whether a target is set aside; such a target is never chosen.
    pub fn set_ejected(&mut self, id: Id, ejected: bool) {
        if self.is_ejected(id) == ejected || self.place(id).is_none() {
            return;
        }
        self.change(id, |place| place.ejected = ejected);
        let Some(place) = self.places[id.index as usize].as_ref() else { return };
        for membership in &place.memberships {
            let kind = &mut self.kinds[membership.kind];
            kind.ejected = if ejected { kind.ejected + 1 } else { kind.ejected - 1 };
        }
    }

    /// Whether one more target of each kind of `id` may be set aside, so that at most
    /// `share_milli` thousandths of its members are; of three members one may always be.
    pub fn may_eject(&self, id: Id, share_milli: u32) -> bool {
        let Some(place) = self.place(id) else { return false };
        let mut kinds = place.memberships.iter().map(|membership| &self.kinds[membership.kind]);
        kinds.all(|kind| kind.may_eject(share_milli))
    }

    /// Whether a target gets one request at a time.
    pub fn is_probing(&self, id: Id) -> bool {
        self.row(id).is_some_and(|row| row.probing)
    }

    /// Whether a target is set aside.
    pub fn is_ejected(&self, id: Id) -> bool {
        self.place(id).is_some_and(|place| place.ejected)
    }

    /// Whether a target is leaving.
    pub fn is_leaving(&self, id: Id) -> bool {
        self.place(id).is_some_and(|place| place.leaving)
    }

    /// Sets whether a target gets one request at a time.
    pub fn set_probing(&mut self, id: Id, probing: bool) {
        if let Some(row) = self.row_mut(id) {
            row.probing = probing;
        }
    }

    /// Takes the load that came with an answer or a report.
    pub fn observe(&mut self, now: Time, id: Id, load: Load) {
        if let Some(row) = self.row_mut(id) {
            row.observe(now, load);
        }
    }

    /// Takes the number of watchers that a target holds.
    pub fn observe_watchers(&mut self, id: Id, present: u32) {
        if let Some(row) = self.row_mut(id) {
            row.observe_watchers(present);
        }
    }

    /// Counts a request that is being sent.
    pub fn begin_request(&mut self, now: Time, id: Id, class: Class) {
        let Some(row) = self.row_mut(id) else { return };
        match class {
            Class::Watch => row.watchers += 1,
            Class::Quick | Class::Batch => row.send(now),
        }
    }

    /// Counts a request whose answer is complete or given up.
    pub fn end_request(&mut self, id: Id, class: Class) {
        let Some(row) = self.row_mut(id) else { return };
        match class {
            Class::Watch => row.watchers = row.watchers.saturating_sub(1),
            Class::Quick | Class::Batch => row.outstanding = row.outstanding.saturating_sub(1),
        }
    }

    /// Takes the result of a request for the failure rate.
    pub fn record_result(&mut self, id: Id, failed: bool) {
        if let Some(row) = self.row_mut(id) {
            row.record(failed);
        }
    }

    /// Takes the time that a request of `kind` took at any target.
    pub fn record_latency(&mut self, kind: &str, latency: Duration) {
        if let Some(kind) = self.kinds.get_mut(kind) {
            kind.learn(latency);
        }
    }

    /// The time that a request of `kind` takes of late, zero when none has been answered.
    pub fn mean_latency(&self, kind: &str) -> Duration {
        let usual_us = self.kinds.get(kind).map_or(0, |kind| kind.usual_us);
        Duration::from_micros(usual_us)
    }

    /// Chooses a target; `None` when every target of the kind is gone, set aside or tried.
    pub fn choose(&self, now: Time, query: &Query<'_>, rng: &mut SmallRng) -> Option<Choice> {
        let draw = Draw {
            settings: &self.settings,
            rows: &self.rows,
            eligible: &self.kinds.get(query.kind)?.eligible,
            domain: OWN_DOMAIN,
            query,
            now,
        };
        let (index, cost) = draw.run(rng)?;
        Some(Choice { id: self.id(index), wait: cost.wait(), total: cost.total() })
    }

    fn insert(&mut self, target: Target) -> Id {
        let index = self.free.pop().unwrap_or_else(|| {
            self.rows.push(Row::default());
            self.places.push(None);
            u32::try_from(self.rows.len() - 1).expect("fewer than 2^32 targets")
        });
        let domain = self.intern_domain(&target.domain);
        let row = &mut self.rows[index as usize];
        *row = Row { generation: row.generation, domain, ..Row::default() };
        self.by_worker.insert(target.worker.clone(), index);
        self.places[index as usize] = Some(Place::new(target));
        self.join_kinds(index);
        self.id(index)
    }

    fn rename(&mut self, id: Id, target: Target) {
        self.leave_kinds(id.index);
        self.rows[id.index as usize].domain = self.intern_domain(&target.domain);
        if let Some(place) = self.places[id.index as usize].as_mut() {
            place.target = target;
        }
        self.join_kinds(id.index);
    }

    fn change(&mut self, id: Id, change: impl FnOnce(&mut Place)) {
        if self.place(id).is_none() {
            return;
        }
        let Some(place) = self.places[id.index as usize].as_mut() else { return };
        let before = place.is_eligible();
        change(place);
        let after = place.is_eligible();
        match (before, after) {
            (true, false) => self.withdraw(id.index),
            (false, true) => self.offer(id.index),
            _ => {}
        }
    }

    fn join_kinds(&mut self, index: u32) {
        let Some(place) = self.places[index as usize].as_ref() else { return };
        let (eligible, ejected) = (place.is_eligible(), place.ejected);
        let mut names = place.target.kinds.clone();
        names.sort_unstable();
        names.dedup();
        let kinds = names.iter().map(|name| self.kinds.join(name, ejected));
        let memberships = kinds.map(|kind| Membership { kind, position: 0 }).collect();
        if let Some(place) = self.places[index as usize].as_mut() {
            place.memberships = memberships;
        }
        if eligible {
            self.offer(index);
        }
    }

    fn leave_kinds(&mut self, index: u32) {
        let Some(place) = self.places[index as usize].as_ref() else { return };
        if place.is_eligible() {
            self.withdraw(index);
        }
        let Some(place) = self.places[index as usize].as_mut() else { return };
        let ejected = place.ejected;
        for membership in std::mem::take(&mut place.memberships) {
            self.kinds.leave(membership.kind, ejected);
        }
    }

    /// Adds a target to the eligible ones of each of its kinds.
    fn offer(&mut self, index: u32) {
        let Some(place) = self.places[index as usize].as_mut() else { return };
        for membership in &mut place.memberships {
            let eligible = &mut self.kinds[membership.kind].eligible;
            membership.position = eligible.len();
            eligible.push(index);
        }
    }

    /// Takes a target out of the eligible ones of each of its kinds.
    fn withdraw(&mut self, index: u32) {
        let Some(place) = self.places[index as usize].as_ref() else { return };
        for Membership { kind, position } in place.memberships.clone() {
            let eligible = &mut self.kinds[kind].eligible;
            eligible.swap_remove(position);
            let Some(&moved) = eligible.get(position) else { continue };
            self.reposition(moved, kind, position);
        }
    }

    fn reposition(&mut self, index: u32, kind: usize, position: usize) {
        let Some(place) = self.places[index as usize].as_mut() else { return };
        let mut memberships = place.memberships.iter_mut();
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

    fn count(&self, counts: impl Fn(&Place) -> bool) -> usize {
        self.places.iter().flatten().filter(|place| counts(place)).count()
    }

    fn id(&self, index: u32) -> Id {
        Id { index, generation: self.rows[index as usize].generation }
    }

    fn row(&self, id: Id) -> Option<&Row> {
        self.rows.get(id.index as usize).filter(|row| row.generation == id.generation)
    }

    fn row_mut(&mut self, id: Id) -> Option<&mut Row> {
        self.rows.get_mut(id.index as usize).filter(|row| row.generation == id.generation)
    }

    fn place(&self, id: Id) -> Option<&Place> {
        self.row(id)?;
        self.places[id.index as usize].as_ref()
    }
}

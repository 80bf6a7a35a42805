use super::message::{Profile, Status};
use super::racks::Key;
use super::{Settings, Worker};
use foldhash::HashMap;
use shallotflow_core::graph::Step;
use shallotflow_core::name::Name;
use std::collections::BTreeSet;

/// Expected processor use of a worker plus its cost while it is cold, ordered as a number: a
/// non-negative floating-point number orders like its bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Pressure(u64);

impl Pressure {
    pub(super) fn of(share: f64) -> Self {
        Self(share.max(0.0).to_bits())
    }

    /// Returns the expected use as a share of the worker's processors, plus the cost of a cold one.
    pub(super) fn share(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// Workers in order of their expected processor use, then by agent.
pub(super) type List = BTreeSet<(Pressure, Name)>;

/// The lists that a worker is in, and its position there.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Rank {
    service: Name,
    labels: Vec<Name>,
    rack: Option<Name>,
    pressure: Pressure,
}

impl Rank {
    fn of(profile: &Profile, pressure: Pressure) -> Self {
        Self {
            service: profile.service.clone(),
            labels: profile.labels.clone(),
            rack: profile.rack.clone(),
            pressure,
        }
    }

    /// Returns the service and the rack of the worker, if it has one.
    pub(super) fn key(&self) -> Option<Key> {
        Some((self.service.clone(), self.rack.clone()?))
    }

    fn describes(&self, profile: &Profile) -> bool {
        self.service == profile.service
            && self.labels == profile.labels
            && self.rack == profile.rack
    }
}

/// The workers of one service that may get tasks.
#[derive(Clone, Debug, Default, PartialEq)]
struct Lists {
    all: List,
    by_label: HashMap<Name, List>,
    by_rack: HashMap<Name, List>,
}

/// The workers that may get tasks, by service, label and rack, with the least used first.
///
/// A choice reads a list from its start and stops at the first worker that cannot be better than the
/// best one found, so its cost hardly depends on the number of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Ranking {
    services: HashMap<Name, Lists>,
}

impl Ranking {
    /// Brings the lists up to date with the state of `worker`. Returns whether the worker is new in
    /// a list.
    pub(super) fn update(
        &mut self,
        agent: &Name,
        worker: &mut Worker,
        settings: &Settings,
    ) -> bool {
        let ready = worker.synced && !worker.vacant && !worker.evacuated;
        let registered = worker.profile.as_ref().filter(|profile| {
            ready
                && profile.status == Status::Ready
                && worker.incarnation.as_ref() == Some(&profile.incarnation)
        });
        let rank = registered.map(|profile| {
            let pressure = worker.load.pressure(0.0, &profile.capacity, settings);
            (profile, Pressure::of(pressure + worker.cold_cost()))
        });
        match (&mut worker.rank, rank) {
            (None, None) => false,
            (Some(rank), Some((profile, pressure))) if rank.describes(profile) => {
                if rank.pressure != pressure {
                    self.remove(agent, rank);
                    rank.pressure = pressure;
                    self.insert(agent, rank);
                }
                false
            }
            (former, rank) => {
                if let Some(former) = former.take() {
                    self.remove(agent, &former);
                }
                let Some((profile, pressure)) = rank else { return false };
                let rank = Rank::of(profile, pressure);
                self.insert(agent, &rank);
                *former = Some(rank);
                true
            }
        }
    }

    /// Returns the workers of `service` that have the label that `step` requires.
    pub(super) fn eligible(&self, service: &str, step: &Step) -> Option<&List> {
        let lists = self.services.get(service)?;
        match &step.required_label {
            Some(label) => lists.by_label.get(label),
            None => Some(&lists.all),
        }
    }

    /// Returns the workers of `service` in `rack`.
    pub(super) fn near(&self, service: &str, rack: &str) -> Option<&List> {
        self.services.get(service)?.by_rack.get(rack)
    }

    fn insert(&mut self, agent: &Name, rank: &Rank) {
        let lists = self.services.entry(rank.service.clone()).or_default();
        let entry = (rank.pressure, agent.clone());
        for label in &rank.labels {
            lists.by_label.entry(label.clone()).or_default().insert(entry.clone());
        }
        if let Some(rack) = &rank.rack {
            lists.by_rack.entry(rack.clone()).or_default().insert(entry.clone());
        }
        lists.all.insert(entry);
    }

    fn remove(&mut self, agent: &Name, rank: &Rank) {
        let Some(lists) = self.services.get_mut(&rank.service) else { return };
        let entry = (rank.pressure, agent.clone());
        lists.all.remove(&entry);
        for label in &rank.labels {
            remove_from(&mut lists.by_label, label, &entry);
        }
        if let Some(rack) = &rank.rack {
            remove_from(&mut lists.by_rack, rack, &entry);
        }
        if lists.all.is_empty() {
            self.services.remove(&rank.service);
        }
    }
}

/// Removes `entry` from the list of `name`, and the list once it is empty.
fn remove_from(lists: &mut HashMap<Name, List>, name: &Name, entry: &(Pressure, Name)) {
    let Some(list) = lists.get_mut(name) else { return };
    list.remove(entry);
    if list.is_empty() {
        lists.remove(name);
    }
}

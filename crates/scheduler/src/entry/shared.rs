use super::activity::Activity;
use super::member::{Owner, Presence};
use super::overload::Overload;
use super::ownership::Ownership;
use super::shown::Shown;
use super::witnesses::Witnesses;
use super::{Settings, elect, evacuate, membership, own, serve, waits};
use crate::peers::{Call, Client};
use event_listener::Event;
use foldhash::{HashMap, HashMapExt};
use futures_channel::mpsc::UnboundedReceiver;
use shallotflow_core::graph::{Job, Queue};
use shallotflow_core::name::Name;
use shallotflow_core::time::{Clock, Time};
use shallotflow_policy::plan::{Evacuation, Sizes};
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The entry's view of the owner, the other entries and the workers.
#[derive(Default)]
pub(super) struct View {
    /// The owner that the store or an entry last reported.
    pub(super) owner: Option<Owner>,
    /// The revision of the last known record of the owner's key.
    pub(super) owner_revision: i64,
    /// Whether another writer has overwritten that record, so that `owner` can record nothing more.
    pub(super) owner_overwritten: bool,
    /// Whether the membership has been read from the store.
    pub(super) loaded: bool,
    /// The entries that are present.
    pub(super) entries: BTreeMap<Name, Presence>,
    /// Entries whose presence another writer has overwritten: the revision, and since when it is known.
    pub(super) overwritten_entries: BTreeMap<Name, (i64, Time)>,
    /// Since when the owner reports that it does not own the table.
    pub(super) disowned_since: Option<Time>,
    /// When the store last answered another entry, as reported by that entry.
    pub(super) others_store_contact: Time,
    /// When another entry last reported its status.
    pub(super) others_last_reachable: Time,
    /// What the other entries say of the table and the store.
    pub(super) witnesses: Witnesses,
    /// The largest workers that were reported to this process.
    pub(super) sizes: Sizes,
    /// When a larger worker was last reported.
    pub(super) sizes_grew_at: Time,
}

impl View {
    /// Whether the process that claimed the table as `owner` is present.
    pub(super) fn is_present(&self, owner: &Owner) -> bool {
        self.entries.get(&owner.entry).is_some_and(|presence| presence.process == owner.process)
    }

    /// Removes an entry whose presence has ended.
    pub(super) fn remove_entry(&mut self, name: &str, now: Time) {
        if let Some((name, presence)) = self.entries.remove_entry(name) {
            self.witnesses.note_departure(name, presence.address, now);
        }
    }

    /// Notes that another writer has overwritten the presence of an entry.
    pub(super) fn observe_overwritten_entry(&mut self, name: Name, revision: i64, now: Time) {
        let known = self.overwritten_entries.entry(name).or_insert((revision, now));
        if known.0 != revision {
            *known = (revision, now);
        }
    }

    /// The revision of the overwritten presence of an entry once it has stayed so for `limit`; 0 if
    /// the presence is absent.
    pub(super) fn absent_revision(&self, name: &str, limit: Duration, now: Time) -> Option<i64> {
        match self.overwritten_entries.get(name) {
            Some((revision, since)) => since.after(limit).passed(now).then_some(*revision),
            None => Some(0),
        }
    }
}

/// One entry; its loops and calls share this state.
pub struct Entry {
    pub(super) settings: Settings,
    pub(super) name: Name,
    pub(super) process: u64,
    pub(super) address: SocketAddr,
    pub(super) store: Rc<dyn Store>,
    pub(super) view: RefCell<View>,
    pub(super) ownership: RefCell<Option<Ownership>>,
    pub(super) queues: RefCell<Vec<Queue>>,
    /// When the last call was sent that the store answered.
    pub(super) store_contact: Cell<Time>,
    /// When the last renewal of the entry's presence was sent that the store confirmed.
    pub(super) presence_renewed: Cell<Time>,
    /// The revision of the entry's presence; 0 before it was written.
    pub(super) presence_revision: Cell<i64>,
    /// Notified when membership changed.
    pub(super) membership_changed: Event,
    /// Notified when the owner has something to decide.
    pub(super) decision_due: Event,
    /// Notified when the replies to an agent's reports may be due, by agent.
    pub(super) agent_news: RefCell<HashMap<Name, Rc<Event>>>,
    /// Notified when the owner has something to record.
    pub(super) commit_due: Event,
    pub(super) activity: Activity,
    /// Failure domains that the fleet configuration evacuates.
    pub(super) evacuated_by_configuration: RefCell<BTreeSet<Name>>,
    pub(super) overload: RefCell<Overload>,
    pub(super) shown: RefCell<Shown>,
    pub(super) stopping: Cell<bool>,
    /// The revision of the owner's record on which the claim in progress rests, until the table is loaded: the one
    /// that it replaces, and its own once it is answered.
    pub(super) claimed: Cell<Option<i64>>,
    /// The entry makes no claim before this time.
    pub(super) claims_allowed_from: Cell<Time>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
}

impl Entry {
    /// Creates the entry named `name` that serves calls of peers at `address`; `process` identifies
    /// the process of the entry.
    pub fn new(
        settings: Settings,
        name: Name,
        process: u64,
        address: SocketAddr,
        store: Rc<dyn Store>,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            name,
            process,
            address,
            store,
            view: RefCell::default(),
            ownership: RefCell::new(None),
            queues: RefCell::default(),
            store_contact: Cell::new(Time::ZERO),
            presence_renewed: Cell::new(Time::ZERO),
            presence_revision: Cell::new(0),
            membership_changed: Event::new(),
            decision_due: Event::new(),
            agent_news: RefCell::default(),
            commit_due: Event::new(),
            activity: Activity::default(),
            evacuated_by_configuration: RefCell::default(),
            overload: RefCell::default(),
            shown: RefCell::default(),
            stopping: Cell::new(false),
            claimed: Cell::new(None),
            claims_allowed_from: Cell::new(Time::ZERO),
            clients: RefCell::new(HashMap::new()),
        })
    }

    /// Starts the loops; `calls` are those of agents and other entries.
    pub fn start(self: &Rc<Self>, calls: UnboundedReceiver<Call>) {
        monoio::spawn(membership::announce(self.clone()));
        monoio::spawn(membership::follow(self.clone()));
        monoio::spawn(membership::poll_owner(self.clone()));
        monoio::spawn(membership::poll_claimants(self.clone()));
        monoio::spawn(elect::run(self.clone()));
        monoio::spawn(own::decide(self.clone()));
        monoio::spawn(own::record(self.clone()));
        monoio::spawn(own::log_activity(self.clone()));
        monoio::spawn(waits::follow(self.clone()));
        monoio::spawn(serve::serve(self.clone(), calls));
    }

    /// Applies the queues of a newer configuration.
    pub fn set_queues(&self, queues: Vec<Queue>) {
        if let Some(ownership) = &mut *self.ownership.borrow_mut() {
            ownership.table.set_queues(queues.clone(), Boottime.now());
        }
        *self.queues.borrow_mut() = queues;
        self.decision_due.notify(usize::MAX);
    }

    /// Replaces the failure domains that the fleet configuration evacuates; those that operators
    /// request in the store are evacuated as well.
    pub fn set_evacuated_by_configuration(&self, domains: BTreeSet<Name>) {
        if *self.evacuated_by_configuration.borrow() == domains {
            return;
        }
        *self.evacuated_by_configuration.borrow_mut() = domains;
        if let Some(ownership) = &mut *self.ownership.borrow_mut() {
            evacuate::apply(self, ownership);
        }
        self.decision_due.notify(usize::MAX);
    }

    /// Gives the table up and makes no further claims; the entry continues to serve callers.
    pub async fn leave(&self) {
        self.stopping.set(true);
        own::release(self).await;
    }

    /// Dumps the state of the entry for operators.
    pub fn dump(&self) -> serde_json::Value {
        let now = Boottime.now();
        let may_start = self.has_no_successor(now);
        let view = self.view.borrow();
        let ownership = self.ownership.borrow();
        let waits = ownership.as_ref().map(|ownership| waits::dump(ownership, may_start, now));
        let jobs = ownership.as_ref().map(|ownership| {
            let jobs = ownership.table.jobs().map(|job| {
                serde_json::json!({ "job": job.id.to_string(), "state": job.state().as_str() })
            });
            jobs.collect::<Vec<_>>()
        });
        let evacuated = ownership.as_ref().map(|ownership| {
            let describe = |evacuation: Evacuation| {
                let Evacuation { domain, revision, since, workers, runs } = evacuation;
                serde_json::json!({
                    "domain": domain, "revision": revision, "workers": workers, "runs": runs,
                    "for_ms": now.since(since).as_millis(),
                })
            };
            ownership.table.evacuations().into_iter().map(describe).collect::<Vec<_>>()
        });
        serde_json::json!({
            "evacuated": evacuated,
            "entry": &*self.name,
            "epoch": view.owner.as_ref().map(|owner| owner.epoch),
            "owner": view.owner.as_ref().map(|owner| owner.entry.to_string()),
            "owned": ownership.is_some(),
            "store_age_ms": now.since(self.store_contact.get()).as_millis(),
            "entries": view.entries.keys().map(ToString::to_string).collect::<Vec<_>>(),
            "workers": ownership.as_ref().map(|ownership| ownership.table.workers().clone()),
            "jobs": jobs,
            "waits": waits,
        })
    }

    /// The time since the store last answered, in milliseconds.
    ///
    /// `u64::MAX` if it has not since the process started.
    pub fn store_age_ms(&self) -> u64 {
        if self.store_contact.get() == Time::ZERO {
            return u64::MAX;
        }
        let age = Boottime.now().since(self.store_contact.get()).as_millis();
        u64::try_from(age).unwrap_or(u64::MAX)
    }

    /// Records the contact if the result of a call sent at `sent` shows that the store answers.
    fn track_contact<T>(&self, result: &Result<T, Error>, sent: Time) {
        let answered = match result {
            Ok(_) => true,
            Err(error) => matches!(
                error,
                Error::NotApplied { .. } | Error::LeaseGone { .. } | Error::Compacted { .. }
            ),
        };
        if answered {
            self.store_contact.set(self.store_contact.get().max(sent));
        }
    }

    /// Makes a call to the store and records whether the store answers.
    pub(super) async fn store_call<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let sent = Boottime.now();
        let result = call.await;
        self.track_contact(&result, sent);
        result
    }

    /// Commits a transaction and records whether the store answers.
    pub(super) async fn commit(&self, transaction: Transaction) -> Result<i64, Error> {
        self.store_call(self.store.commit(transaction)).await
    }

    /// The client of the peer at `address`.
    pub(super) fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        clients.entry(address).or_insert_with(|| Client::new(address)).clone()
    }

    /// The client of the owner, if another entry is the owner.
    pub(super) fn owner_client(&self) -> Option<Client> {
        let view = self.view.borrow();
        let owner = view.owner.as_ref()?;
        let other = !owner.entry.is_empty() && owner.process != self.process;
        other.then(|| self.client(owner.address))
    }

    /// The addresses of the other entries that are present.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let others = view.entries.iter().filter(|(name, _)| **name != self.name);
        others.map(|(_, presence)| presence.address).collect()
    }

    /// Merges the largest workers that an owner has seen into the view.
    pub(super) fn observe_sizes(&self, sizes: &Sizes) {
        let mut view = self.view.borrow_mut();
        if view.sizes.merge(sizes) {
            view.sizes_grew_at = Boottime.now();
        }
    }

    /// The first step of `job` whose tasks are known to fit no worker.
    ///
    /// Workers register one after the other, so no step is refused while larger workers keep
    /// registering.
    pub(super) fn too_large(&self, job: &Job) -> Option<usize> {
        if let Some(ownership) = &*self.ownership.borrow() {
            self.observe_sizes(ownership.table.sizes());
        }
        let view = self.view.borrow();
        let settled = view.sizes_grew_at.after(self.settings.sizes_settle).passed(Boottime.now());
        view.sizes.too_large(&job.queue.service, &job.spec).filter(|_| settled)
    }

    /// The revision of the owner's record on which this entry's ownership or its claim in progress rests.
    pub(super) fn claimed_revision(&self) -> Option<i64> {
        let owned = self.ownership.borrow().as_ref().map(|ownership| ownership.revision);
        owned.or(self.claimed.get())
    }

    /// Whether the entry's presence is certainly recorded, so that nobody has claimed its table.
    ///
    /// A successful call to the store does not show that: the presence may have ended in an outage.
    pub(super) fn is_present(&self, now: Time) -> bool {
        now < self.presence_renewed.get().after(self.settings.presence_lease)
    }

    /// Whether this owner certainly has no successor, so that it may start tasks and renew leases.
    ///
    /// A successor may already have done work that still waits in this table, and counts on the end
    /// of leases that were renewed before its claim. There is no successor while the entry is
    /// present, and none while every other entry says that the store has not answered it since. An owner that
    /// is cut off together with others hears these, but not the entry that claims its table.
    pub(super) fn has_no_successor(&self, now: Time) -> bool {
        if self.is_present(now) {
            return true;
        }
        let presence_end = self.presence_renewed.get().after(self.settings.presence_lease);
        if self.store_contact.get() > presence_end {
            // The store answers again; the next renewal shows within a few milliseconds whether the
            // presence has ended.
            return false;
        }
        let view = self.view.borrow();
        let others = self.possible_claimants(&view);
        if others.is_empty() {
            // The view may lack an entry that runs.
            return view.others_last_reachable == Time::ZERO;
        }
        let limit = self.settings.witness_limit;
        let others = others.into_values();
        !self.is_cut_off(&view) && view.witnesses.exclude_claim(others, presence_end, limit, now)
    }

    /// The other entries that may reach the store, as far as this one knows, with their addresses.
    pub(super) fn possible_claimants(&self, view: &View) -> BTreeMap<Name, SocketAddr> {
        let departed = view.witnesses.departed(self.store_contact.get());
        let departed = departed.map(|(name, address)| (name.clone(), address));
        let present = view.entries.iter().map(|(name, presence)| (name.clone(), presence.address));
        departed.chain(present).filter(|(name, _)| *name != self.name).collect()
    }

    /// Whether the store answers other entries while it does not answer this one.
    pub(super) fn is_cut_off(&self, view: &View) -> bool {
        view.others_store_contact > self.store_contact.get().after(self.settings.contact_slack)
    }

    /// Applies the record of the table's owner at `revision` if it is newer than the known one; gives
    /// the table up to a later owner.
    pub(super) fn observe_owner(&self, owner: Owner, revision: i64) {
        let mut view = self.view.borrow_mut();
        if revision <= view.owner_revision {
            return;
        }
        let newer = view.owner.as_ref().is_none_or(|known| {
            owner.epoch > known.epoch || (owner.epoch == known.epoch && owner.entry.is_empty())
        });
        if !newer {
            drop(view);
            self.observe_overwritten(revision, &"a former owner is named");
            return;
        }
        view.owner_revision = revision;
        view.owner_overwritten = false;
        let replaced = self
            .ownership
            .borrow()
            .as_ref()
            .is_some_and(|ownership| owner.epoch > ownership.table.epoch());
        crate::log::decision("owner", &owner);
        view.owner = Some(owner);
        view.disowned_since = None;
        drop(view);
        if replaced {
            self.give_up("another entry is the owner");
        }
        self.membership_changed.notify(usize::MAX);
    }

    /// Notes that another writer has overwritten the record of the owner at `revision`, and gives the
    /// table up: its records are conditional on a former revision.
    pub(super) fn observe_overwritten(&self, revision: i64, reason: &dyn std::fmt::Display) {
        {
            let mut view = self.view.borrow_mut();
            if revision <= view.owner_revision {
                return;
            }
            view.owner_revision = revision;
            view.owner_overwritten = true;
        }
        crate::log::refused(super::keys::OWNER, reason);
        if self.ownership.borrow().is_some() {
            self.give_up("another writer has overwritten the record of the owner");
        }
        self.membership_changed.notify(usize::MAX);
    }

    /// The event that is notified when the replies to reports of `agent` may be due.
    pub(super) fn news_of(&self, agent: &Name) -> Rc<Event> {
        self.agent_news.borrow_mut().entry(agent.clone()).or_default().clone()
    }

    /// Lets the replies to `agents` be checked.
    pub(super) fn notify_agents(&self, agents: BTreeSet<Name>) {
        let news = self.agent_news.borrow();
        for agent in agents {
            if let Some(news) = news.get(&agent) {
                news.notify(usize::MAX);
            }
        }
    }

    /// Drops the table; a later owner decides from the store and the agents' lists.
    pub(super) fn give_up(&self, reason: &'static str) {
        if let Some(ownership) = self.ownership.borrow_mut().take() {
            let epoch = ownership.table.epoch();
            spdlog::warn!("table given up", kv: { epoch, reason });
            super::meters::owned(false);
            super::meters::evacuated(0);
            super::meters::waits(&BTreeMap::new());
            super::meters::remnants(0);
        }
        // All reports are answered: another entry is or will be the owner.
        for (_, news) in self.agent_news.borrow_mut().drain() {
            news.notify(usize::MAX);
        }
        self.membership_changed.notify(usize::MAX);
    }
}

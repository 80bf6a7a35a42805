use super::holder::{Holder, Presence};
use super::reign::Reign;
use super::{Settings, elect, membership, own, serve};
use crate::peers::{Call, Client};
use event_listener::Event;
use foldhash::{HashMap, HashMapExt};
use futures_channel::mpsc::UnboundedReceiver;
use shallotflow_core::graph::{Job, Queue};
use shallotflow_core::name::Name;
use shallotflow_core::time::{Clock, Time};
use shallotflow_policy::plan::Sizes;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::error::Error;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What the entry knows of the others.
#[derive(Default)]
pub(super) struct Known {
    /// The owner, as the store or an entry said last.
    pub(super) holder: Option<Holder>,
    /// Whether the store has been read at all.
    pub(super) read: bool,
    /// The entries that are there.
    pub(super) entries: BTreeMap<Name, Presence>,
    /// Since when the owner says that it does not own the table.
    pub(super) disowned: Option<Time>,
    /// When the store last answered another entry, by that entry's word.
    pub(super) others_contact: Time,
    /// When another entry last said how it stands.
    pub(super) others_heard: Time,
    /// The largest workers that this process has heard of.
    pub(super) sizes: Sizes,
    /// When it last heard of a larger one.
    pub(super) sizes_grew: Time,
}

/// One entry; its loops and calls share it.
pub struct Entry {
    pub(super) settings: Settings,
    pub(super) name: Name,
    pub(super) process: u64,
    pub(super) address: SocketAddr,
    pub(super) store: Rc<dyn Store>,
    pub(super) known: RefCell<Known>,
    pub(super) reign: RefCell<Option<Reign>>,
    pub(super) queues: RefCell<Vec<Queue>>,
    /// When the last call that the store answered was sent.
    pub(super) contact: Cell<Time>,
    /// When the last renewal of the entry's presence was sent that the store confirmed.
    pub(super) present: Cell<Time>,
    /// Notified when membership changed.
    pub(super) changed: Event,
    /// Notified when the owner has something to decide.
    pub(super) wake: Event,
    /// Notified when agents have orders to fetch.
    pub(super) ordered: Event,
    /// Notified when the owner has something to record.
    pub(super) dirty: Event,
    pub(super) stopping: Cell<bool>,
    /// Before this, the entry claims nothing.
    pub(super) claims_from: Cell<Time>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
}

impl Entry {
    /// An entry named `name` that takes calls of peers at `address`; `process` tells the processes
    /// of one entry apart.
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
            known: RefCell::default(),
            reign: RefCell::new(None),
            queues: RefCell::default(),
            contact: Cell::new(Time::ZERO),
            present: Cell::new(Time::ZERO),
            changed: Event::new(),
            wake: Event::new(),
            ordered: Event::new(),
            dirty: Event::new(),
            stopping: Cell::new(false),
            claims_from: Cell::new(Time::ZERO),
            clients: RefCell::new(HashMap::new()),
        })
    }

    /// Starts the loops; `calls` are those of agents and other entries.
    pub fn start(self: &Rc<Self>, calls: UnboundedReceiver<Call>) {
        monoio::spawn(membership::announce(self.clone()));
        monoio::spawn(membership::follow(self.clone()));
        monoio::spawn(membership::ask_owner(self.clone()));
        monoio::spawn(elect::follow(self.clone()));
        monoio::spawn(own::decide(self.clone()));
        monoio::spawn(own::record(self.clone()));
        monoio::spawn(serve::serve(self.clone(), calls));
    }

    /// Takes over the queues of a newer configuration.
    pub fn set_queues(&self, queues: Vec<Queue>) {
        if let Some(reign) = &mut *self.reign.borrow_mut() {
            reign.table.set_queues(queues.clone());
        }
        *self.queues.borrow_mut() = queues;
        self.wake.notify(usize::MAX);
    }

    /// Gives the table up and claims it no more; calls of callers are served on.
    pub async fn leave(&self) {
        self.stopping.set(true);
        own::release(self).await;
    }

    /// The state of the entry, for operators.
    pub fn dump(&self) -> serde_json::Value {
        let now = Boottime.now();
        let known = self.known.borrow();
        let reign = self.reign.borrow();
        let jobs = reign.as_ref().map(|reign| {
            let jobs = reign.table.jobs().map(|job| {
                serde_json::json!({ "job": job.id.to_string(), "state": job.state().as_str() })
            });
            jobs.collect::<Vec<_>>()
        });
        serde_json::json!({
            "entry": &*self.name,
            "epoch": known.holder.as_ref().map(|holder| holder.epoch),
            "owner": known.holder.as_ref().map(|holder| holder.entry.to_string()),
            "owned": reign.is_some(),
            "store_age_ms": now.since(self.contact.get()).as_millis(),
            "entries": known.entries.keys().map(ToString::to_string).collect::<Vec<_>>(),
            "workers": reign.as_ref().map(|reign| reign.table.workers().clone()),
            "jobs": jobs,
        })
    }

    /// How long ago the store answered, milliseconds.
    pub fn store_age_ms(&self) -> u64 {
        let age = Boottime.now().since(self.contact.get()).as_millis();
        u64::try_from(age).unwrap_or(u64::MAX)
    }

    /// Notes whether a call that was sent at `sent` shows that the store answers.
    fn note<T>(&self, result: &Result<T, Error>, sent: Time) {
        let answered = match result {
            Ok(_) => true,
            Err(error) => matches!(
                error,
                Error::NotApplied { .. } | Error::LeaseGone { .. } | Error::Compacted { .. }
            ),
        };
        if answered {
            self.contact.set(self.contact.get().max(sent));
        }
    }

    /// Makes a call to the store, and notes whether the store answers.
    pub(super) async fn noted<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let sent = Boottime.now();
        let result = call.await;
        self.note(&result, sent);
        result
    }

    /// Commits, and notes whether the store answers.
    pub(super) async fn commit(&self, transaction: Transaction) -> Result<i64, Error> {
        self.noted(self.store.commit(transaction)).await
    }

    /// The client of the peer at `address`.
    pub(super) fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        clients.entry(address).or_insert_with(|| Client::new(address)).clone()
    }

    /// The client of the owner, if another entry is the owner.
    pub(super) fn owner(&self) -> Option<Client> {
        let known = self.known.borrow();
        let holder = known.holder.as_ref()?;
        let other = !holder.entry.is_empty() && holder.process != self.process;
        other.then(|| self.client(holder.address))
    }

    /// The entries that are there, without this one.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let others = known.entries.iter().filter(|(name, _)| **name != self.name);
        others.map(|(_, presence)| presence.address).collect()
    }

    /// Notes the largest workers that an owner has seen.
    pub(super) fn note_sizes(&self, sizes: &Sizes) {
        let mut known = self.known.borrow_mut();
        if known.sizes.merge(sizes) {
            known.sizes_grew = Boottime.now();
        }
    }

    /// The first step of `job` whose tasks are known to fit no worker.
    ///
    /// Workers register one after the other, so nothing is known while larger ones still come.
    pub(super) fn too_large(&self, job: &Job) -> Option<usize> {
        if let Some(reign) = &*self.reign.borrow() {
            self.note_sizes(reign.table.sizes());
        }
        let known = self.known.borrow();
        let settled = known.sizes_grew.after(self.settings.sizes_settle).passed(Boottime.now());
        known.sizes.too_large(&job.queue.service, &job.spec).filter(|_| settled)
    }

    /// Whether the entry's presence is there for sure, so that nobody has claimed its table.
    ///
    /// An answer of the store alone does not show that: the presence may have ended in an outage.
    pub(super) fn is_present(&self, now: Time) -> bool {
        now < self.present.get().after(self.settings.presence)
    }

    /// Whether this owner can be sure enough that it has no successor to start tasks.
    ///
    /// A successor may have done the work already of what still waits here. There is none while the
    /// entry is present, and none while the store answers nobody.
    pub(super) fn may_place(&self, now: Time) -> bool {
        if self.is_present(now) {
            return true;
        }
        if self.contact.get() > self.present.get().after(self.settings.presence) {
            // The store is back; its word on this entry's presence is a few milliseconds away.
            return false;
        }
        let known = self.known.borrow();
        let heard = now < known.others_heard.after(self.settings.presence);
        known.entries.len() <= 1 || (heard && !self.is_cut_off(&known))
    }

    /// Whether the store answers other entries while it does not answer this one.
    pub(super) fn is_cut_off(&self, known: &Known) -> bool {
        known.others_contact > self.contact.get().after(self.settings.contact_slack)
    }

    /// Takes a word on who owns the table in, if it is newer; gives the table up to a later owner.
    pub(super) fn hear_of(&self, holder: Holder) {
        let mut known = self.known.borrow_mut();
        let newer = known.holder.as_ref().is_none_or(|own| {
            holder.epoch > own.epoch || (holder.epoch == own.epoch && holder.entry.is_empty())
        });
        if !newer {
            return;
        }
        let replaced =
            self.reign.borrow().as_ref().is_some_and(|reign| holder.epoch > reign.table.epoch());
        crate::log::decision("owner", &holder);
        known.holder = Some(holder);
        known.disowned = None;
        drop(known);
        if replaced {
            self.give_up("another entry is the owner");
        }
        self.changed.notify(usize::MAX);
    }

    /// Forgets the table; a later owner decides from the store and the agents' lists.
    pub(super) fn give_up(&self, reason: &'static str) {
        if let Some(reign) = self.reign.borrow_mut().take() {
            let epoch = reign.table.epoch();
            spdlog::warn!("table given up", kv: { epoch, reason });
            super::meters::owned(false);
        }
        self.ordered.notify(usize::MAX);
        self.changed.notify(usize::MAX);
    }
}

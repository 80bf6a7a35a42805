//! The state of an agent, shared by its tasks.

use crate::batch;
use crate::colocation::Room;
use crate::report::{Budget, Wake};
use crate::request::Meter;
use crate::worker::{Attachment, Control};
use event_listener::{Event, EventListener};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use futures_channel::oneshot;
use shallotflow_core::class::Class;
use shallotflow_core::fleet::Values;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::agent::Settings;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::admission::{self, Command, Id, Refusal, Ticket};
use shallotflow_policy::{lease, spread};
use shallotflow_wire::control::{Attached, Listed, Running, Task};
use shallotflow_wire::http::pool::Pool;
use std::cell::{Ref, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a granted task waits for room before it is given back to its owner.
const PATIENCE: Duration = Duration::from_secs(1);

/// An agent; clones share it.
#[derive(Clone)]
pub(crate) struct Agent {
    inner: Rc<Inner>,
}

struct Inner {
    settings: Settings,
    incarnation: u64,
    control: Rc<dyn Control>,
    pool: Pool,
    state: RefCell<State>,
    worker_changed: Event,
}

/// The tables of an agent.
pub(crate) struct State {
    /// Where entries send requests to this agent.
    pub(crate) address: SocketAddr,
    /// The worker, once what it holds is known.
    pub(crate) attachment: Option<Attachment>,
    /// What runs and waits here.
    pub(crate) admission: admission::Table,
    /// Batch tasks under leases.
    pub(crate) leases: lease::Table,
    /// Service times of quick work.
    pub(crate) meter: Meter,
    /// Interference, sizes and demand.
    pub(crate) room: Room,
    /// The values of the fleet configuration for this worker.
    pub(crate) values: Values,
    /// Bytes that reports may still take.
    pub(crate) budget: Budget,
    /// Which entry owns each ledger.
    pub(crate) owners: HashMap<u32, SocketAddr>,
    /// Wakes the sessions with entries.
    pub(crate) sessions: HashMap<SocketAddr, Rc<Wake>>,
    /// Entries named by the last reply.
    pub(crate) entries: Vec<SocketAddr>,
    /// The fleet configuration in force.
    pub(crate) config: spread::State,
    /// Whether the configuration asks the worker to leave.
    pub(crate) draining: bool,
    /// Whether the agent is leaving.
    pub(crate) leaving: bool,
    /// Entries that have answered a report which says so.
    pub(crate) told_leaving: HashSet<SocketAddr>,
    waiting: HashMap<Id, oneshot::Sender<std::result::Result<(), Refusal>>>,
    admitted: HashMap<Key, Id>,
    doubts: Vec<Doubt>,
    next_id: u64,
}

/// A reservation whose work may still run at the target.
#[derive(Clone, Debug)]
struct Doubt {
    id: Id,
    name: Name,
    since: Time,
}

impl Agent {
    pub(crate) fn new(settings: Settings, control: Rc<dyn Control>, address: SocketAddr) -> Self {
        let state = State {
            address,
            attachment: None,
            admission: admission::Table::new(admission::Settings::default(), Bundle::default()),
            leases: lease::Table::default(),
            meter: Meter::default(),
            room: Room::new(),
            values: Values::default(),
            draining: false,
            budget: Budget::default(),
            owners: HashMap::new(),
            sessions: HashMap::new(),
            entries: Vec::new(),
            config: spread::State::default(),
            leaving: false,
            told_leaving: HashSet::new(),
            waiting: HashMap::new(),
            admitted: HashMap::new(),
            doubts: Vec::new(),
            next_id: 1,
        };
        let inner = Inner {
            settings,
            incarnation: incarnation(),
            control,
            pool: crate::request::pool(),
            state: RefCell::new(state),
            worker_changed: Event::new(),
        };
        Self { inner: Rc::new(inner) }
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.inner.incarnation
    }

    pub(crate) fn control(&self) -> &Rc<dyn Control> {
        &self.inner.control
    }

    pub(crate) fn pool(&self) -> &Pool {
        &self.inner.pool
    }

    pub(crate) fn state(&self) -> Ref<'_, State> {
        self.inner.state.borrow()
    }

    pub(crate) fn state_mut(&self) -> RefMut<'_, State> {
        self.inner.state.borrow_mut()
    }

    pub(crate) fn is_attached(&self) -> bool {
        self.state().attachment.is_some()
    }

    /// Forgets the worker: nothing is admitted until the agent is attached again.
    pub(crate) fn detach(&self) {
        self.state_mut().attachment = None;
    }

    /// Takes over what the worker holds; only then is work admitted.
    pub(crate) fn attach(&self, attachment: Attachment, attached: &Attached) {
        let now = Monotonic.now();
        let mut state = self.state_mut();
        state.admission.resize(attached.capacity);
        state.adopt_tasks(&attachment, &attached.held.tasks, now);
        state.adopt_requests(&attached.held.requests, now);
        state.attachment = Some(attachment);
        drop(state);
        self.observe(&attached.held, now);
        self.wake_all();
    }

    /// Whether the end of some work is not confirmed yet.
    pub(crate) fn has_doubts(&self) -> bool {
        !self.state().doubts.is_empty()
    }

    /// Keeps a reservation until the worker's list confirms that its work has ended.
    pub(crate) fn doubt(&self, id: Id, name: Name) {
        self.state_mut().doubts.push(Doubt { id, name, since: Monotonic.now() });
        self.suspect();
    }

    /// Asks for the list of the worker at once, over a new connection.
    pub(crate) fn suspect(&self) {
        self.inner.worker_changed.notify(usize::MAX);
    }

    /// Notified when the list of the worker should be read at once.
    pub(crate) fn doubted(&self) -> EventListener {
        self.inner.worker_changed.listen()
    }

    /// Takes a list of what the worker held at some moment after `asked`.
    pub(crate) fn observe(&self, listed: &Listed, asked: Time) {
        let mut state = self.state_mut();
        let ended = state.observe_tasks(&listed.tasks, asked);
        state.confirm_requests(&listed.requests, asked);
        drop(state);
        for key in &ended {
            self.wake_owner(key.ledger);
        }
        self.tick();
    }

    /// Runs the systems over the tables and carries their commands out.
    pub(crate) fn tick(&self) {
        let now = Monotonic.now();
        let mut state = self.state_mut();
        if state.attachment.is_none() {
            return;
        }
        let lapsed = state.leases.tick(PATIENCE, now);
        let reserve = state.reserve(now);
        let commands = state.admission.tick(now, &reserve);
        let mut starts = Vec::new();
        for command in commands {
            match command {
                Command::Start(ticket) => starts.extend(state.start(&ticket)),
                Command::Refuse(ticket, refusal) => state.refuse(&ticket, refusal),
            }
        }
        drop(state);
        batch::carry_out(self, lapsed);
        for key in starts {
            monoio::spawn(batch::start(self.clone(), key));
        }
    }

    /// Offers a request; the receiver tells when it may start.
    ///
    /// # Errors
    ///
    /// Refuses what cannot start here within its deadline.
    pub(crate) fn offer(
        &self,
        class: Class,
        kind: &Name,
        need: Bundle,
        deadline: Time,
    ) -> admission::Result<(Id, oneshot::Receiver<admission::Result<()>>)> {
        let now = Monotonic.now();
        let mut state = self.state_mut();
        let id = state.next_id();
        let service = state.meter.service();
        let ticket = Ticket { id, class, need, deadline, offered: now };
        state.admission.offer(ticket, service, now)?;
        if class == Class::Quick {
            state.room.saw(kind, now);
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(id, sender);
        drop(state);
        self.tick();
        Ok((id, receiver))
    }

    /// Takes back a request that waits; `false` when it has started.
    pub(crate) fn withdraw(&self, class: Class, id: Id, deadline: Time) -> bool {
        let mut state = self.state_mut();
        state.waiting.remove(&id);
        state.admission.withdraw(class, id, deadline).is_some()
    }

    /// Releases a reservation whose work has ended for sure.
    pub(crate) fn release(&self, id: Id) {
        let mut state = self.state_mut();
        state.admission.release(id);
        state.room.requests.remove(&id);
        drop(state);
        self.tick();
    }

    /// Wakes the session with the entry that owns `ledger`, or all if that is not known.
    pub(crate) fn wake_owner(&self, ledger: u32) {
        let state = self.state();
        let owner = state.owners.get(&ledger).and_then(|owner| state.sessions.get(owner));
        let Some(session) = owner else {
            drop(state);
            return self.wake_all();
        };
        session.ask();
    }

    /// Wakes the sessions with all entries.
    pub(crate) fn wake_all(&self) {
        for session in self.state().sessions.values() {
            session.ask();
        }
    }
}

impl State {
    /// Takes no new work from now on.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.admission.leave();
    }

    /// Whether nothing is in progress and all entries know that the agent is leaving.
    pub(crate) fn is_idle(&self) -> bool {
        let told = self.sessions.keys().all(|entry| self.told_leaving.contains(entry));
        let settled = self.leases.tasks().next().is_none();
        told && settled && self.admission.used().is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn next_id(&mut self) -> Id {
        self.next_id += 1;
        Id(self.next_id)
    }

    /// Room for new batch work.
    pub(crate) fn batch_room(&self, now: Time) -> Bundle {
        if self.leaving || self.draining || !self.values.batch {
            return Bundle::default();
        }
        let room = self.admission.batch_offer(&self.reserve(now));
        Bundle { slots: room.slots.min(self.tolerated(now)), ..room }
    }

    /// Room kept free for quick work.
    pub(crate) fn reserve(&self, now: Time) -> Bundle {
        self.room.crest.kept(&self.admission.capacity(), now)
    }

    /// What is reserved for a task that was admitted.
    pub(crate) fn reserved(&self, key: &Key) -> Option<Bundle> {
        self.admission.need(*self.admitted.get(key)?)
    }

    /// Sets what is reserved for a task that was admitted.
    pub(crate) fn resize_task(&mut self, key: &Key, need: Bundle) {
        if let Some(&id) = self.admitted.get(key) {
            self.admission.resize_work(id, need);
        }
    }

    /// Offers a granted task for admission.
    pub(crate) fn offer_task(&mut self, key: &Key, now: Time) {
        if !self.values.batch {
            return self.leases.refuse(key, "the configuration lets no batch work start here");
        }
        let Some(task) = self.leases.get(key) else { return };
        let kind = task.grant.kind.clone();
        let need = self.need(&kind, &task.grant.resources);
        self.granted(&kind, now);
        let id = self.next_id();
        // The lease table withdraws the task when its lease passes.
        let deadline = Time::NEVER;
        let ticket = Ticket { id, class: Class::Batch, need, deadline, offered: now };
        match self.admission.offer(ticket, Duration::ZERO, now) {
            Ok(()) => {
                self.admitted.insert(key.clone(), id);
            }
            Err(refusal) => self.leases.refuse(key, &refusal.to_string()),
        }
    }

    /// Takes a task out of the queue.
    pub(crate) fn withdraw_task(&mut self, key: &Key) {
        let Some(id) = self.admitted.remove(key) else { return };
        self.admission.withdraw(Class::Batch, id, Time::NEVER);
    }

    /// Releases the reservation of a task that has ended or never started.
    pub(crate) fn release_task(&mut self, key: &Key) {
        if let Some(id) = self.admitted.remove(key) {
            self.admission.release(id);
        }
        self.room.shares.remove(key);
    }

    fn key_of(&self, id: Id) -> Option<Key> {
        self.admitted.iter().find(|(_, other)| **other == id).map(|(key, _)| key.clone())
    }

    fn start(&mut self, ticket: &Ticket) -> Option<Key> {
        if ticket.class == Class::Batch {
            return self.key_of(ticket.id);
        }
        let told =
            self.waiting.remove(&ticket.id).is_some_and(|sender| sender.send(Ok(())).is_ok());
        if !told {
            // The caller gave up in the meantime; nothing was started for it.
            self.admission.release(ticket.id);
        }
        None
    }

    fn refuse(&mut self, ticket: &Ticket, refusal: Refusal) {
        if let Some(key) = self.key_of(ticket.id) {
            self.admitted.remove(&key);
            return self.leases.refuse(&key, &refusal.to_string());
        }
        if let Some(sender) = self.waiting.remove(&ticket.id) {
            // A caller that is gone does not need the answer.
            let _ = sender.send(Err(refusal));
        }
    }

    fn adopt_tasks(&mut self, attachment: &Attachment, tasks: &[Task], now: Time) {
        for task in tasks {
            let known = self.admitted.contains_key(&task.key);
            let held = batch::held(attachment, task, now);
            self.leases.adopt(task.key.clone(), held, &batch::observation(task));
            if !known && !task.phase.is_final() {
                let id = self.adopt(Class::Batch, task.resources, now);
                self.admitted.insert(task.key.clone(), id);
            }
        }
        self.end_missing(tasks);
    }

    /// Ends tasks that were sent to the worker and that a restarted worker does not hold.
    fn end_missing(&mut self, tasks: &[Task]) {
        let listed = |key: &Key| tasks.iter().any(|task| task.key == *key);
        let sent = self.leases.tasks().filter(|(key, task)| task.may_run() && !listed(key));
        let missing: Vec<Key> = sent.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.leases.observe(&key, &batch::lost());
            self.release_task(&key);
        }
    }

    fn adopt_requests(&mut self, requests: &[Running], now: Time) {
        for request in requests {
            if self.doubts.iter().any(|doubt| doubt.name == request.id) {
                continue;
            }
            let id = self.adopt(Class::Quick, request.resources, now);
            self.doubts.push(Doubt { id, name: request.id.clone(), since: now });
        }
    }

    fn adopt(&mut self, class: Class, need: Bundle, now: Time) -> Id {
        let id = self.next_id();
        self.admission.adopt(Ticket { id, class, need, deadline: Time::NEVER, offered: now });
        id
    }

    fn observe_tasks(&mut self, tasks: &[Task], asked: Time) -> Vec<Key> {
        let mut ended = Vec::new();
        for task in tasks {
            if self.leases.observe(&task.key, &batch::observation(task)) {
                self.learn_run(&task.key);
                self.release_task(&task.key);
                ended.push(task.key.clone());
            }
        }
        let listed = tasks.iter().map(|task| task.key.clone()).collect();
        for key in self.leases.miss(&listed, asked) {
            self.release_task(&key);
            ended.push(key);
        }
        ended
    }

    /// Learns the run time of a task that ran from its beginning to its end.
    fn learn_run(&mut self, key: &Key) {
        let Some(task) = self.leases.get(key) else { return };
        let whole = task.phase == Phase::Done && task.grant.checkpoint.is_empty();
        if !whole || task.grant.expected_run.is_zero() {
            return;
        }
        let run = Duration::from_millis(task.run_ms);
        let now = Monotonic.now();
        self.room.estimates.learn_run(&task.grant.kind, run, task.grant.expected_run, now);
    }

    /// Releases doubtful reservations whose work the list no longer names.
    fn confirm_requests(&mut self, requests: &[Running], asked: Time) {
        let runs = |doubt: &Doubt| requests.iter().any(|request| request.id == doubt.name);
        let (ended, doubts) = std::mem::take(&mut self.doubts)
            .into_iter()
            .partition(|doubt| doubt.since <= asked && !runs(doubt));
        self.doubts = doubts;
        for doubt in ended {
            self.admission.release(doubt.id);
            self.room.requests.remove(&doubt.id);
        }
    }
}

/// A number that grows with each restart of an agent.
fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

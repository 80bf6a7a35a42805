//! The tables of an agent.

use crate::batch;
use crate::colocation::Room;
use crate::report::{Budget, Wake};
use crate::request::Meter;
use crate::worker::Attachment;
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use futures_channel::oneshot;
use shallotflow_core::class::Class;
use shallotflow_core::fleet::Values;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::admission::{self, Command, Id, Refusal, Ticket};
use shallotflow_policy::{lease, spread};
use shallotflow_wire::control::{ActiveRequest, Task};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Tells whether a request may start.
pub(crate) type Started = oneshot::Receiver<admission::Result<()>>;

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

impl State {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
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
        }
    }

    /// Whether the end of some work is not confirmed yet.
    pub(crate) fn has_doubts(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Keeps a reservation until the worker's list confirms that its work has ended.
    pub(crate) fn doubt(&mut self, id: Id, name: Name, now: Time) {
        self.doubts.push(Doubt { id, name, since: now });
    }

    /// Runs admission; gives back the tasks that must be started.
    pub(crate) fn admit(&mut self, now: Time) -> Vec<Key> {
        let reserve = self.reserve(now);
        let mut starts = Vec::new();
        for command in self.admission.tick(now, &reserve) {
            match command {
                Command::Start(ticket) => starts.extend(self.start(&ticket)),
                Command::Refuse(ticket, refusal) => self.refuse(&ticket, refusal),
            }
        }
        starts
    }

    /// Puts a request into its queue; the receiver tells when it may start.
    pub(crate) fn enqueue(
        &mut self,
        class: Class,
        need: Bundle,
        deadline: Time,
        now: Time,
    ) -> admission::Result<(Id, Started)> {
        let id = self.next_id();
        let service = self.meter.service();
        let ticket = Ticket { id, class, need, deadline, offered: now };
        self.admission.offer(ticket, service, now)?;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(id, sender);
        Ok((id, receiver))
    }

    /// Takes back a request that waits; `false` when it has started.
    pub(crate) fn withdraw(&mut self, class: Class, id: Id, deadline: Time) -> bool {
        self.waiting.remove(&id);
        self.admission.withdraw(class, id, deadline).is_some()
    }

    /// Releases a reservation whose work has ended for sure.
    pub(crate) fn release(&mut self, id: Id) {
        self.admission.release(id);
        self.room.requests.remove(&id);
    }

    /// Takes no new work from now on.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.admission.leave();
    }

    /// Whether anything runs or waits.
    pub(crate) fn is_busy(&self) -> bool {
        let tasks = self.leases.tasks().next().is_some();
        tasks || !self.waiting.is_empty() || !self.admission.used().is_empty()
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
        self.room.peak.reserve(&self.admission.capacity(), now)
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

    pub(crate) fn adopt_tasks(&mut self, attachment: &Attachment, tasks: &[Task], now: Time) {
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

    pub(crate) fn adopt_requests(&mut self, requests: &[ActiveRequest], now: Time) {
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

    pub(crate) fn observe_tasks(&mut self, tasks: &[Task], asked: Time) -> Vec<Key> {
        let mut ended = Vec::new();
        for task in tasks {
            if self.leases.observe(&task.key, &batch::observation(task)) {
                self.learn_run(&task.key);
                self.release_task(&task.key);
                ended.push(task.key.clone());
            }
        }
        let listed = tasks.iter().map(|task| task.key.clone()).collect();
        for key in self.leases.refuse_unlisted(&listed, asked) {
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
    pub(crate) fn confirm_requests(&mut self, requests: &[ActiveRequest], asked: Time) {
        let runs = |doubt: &Doubt| requests.iter().any(|request| request.id == doubt.name);
        let (ended, doubts) = std::mem::take(&mut self.doubts)
            .into_iter()
            .partition(|doubt| doubt.since <= asked && !runs(doubt));
        self.doubts = doubts;
        for doubt in ended {
            self.release(doubt.id);
        }
    }
}

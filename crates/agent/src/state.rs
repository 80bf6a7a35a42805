//! The state of an agent.

use crate::batch;
use crate::colocation::Tables;
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

/// Resolves when a request may start or is refused.
pub(crate) type Started = oneshot::Receiver<admission::Result<()>>;

/// The tables of an agent.
pub(crate) struct State {
    /// The address that entries send requests to.
    pub(crate) address: SocketAddr,
    /// The attachment to the worker; `None` until its tasks and requests are known.
    pub(crate) attachment: Option<Attachment>,
    /// Queued and running work.
    pub(crate) admission: admission::Table,
    /// Batch tasks and their leases.
    pub(crate) leases: lease::Table,
    /// Service times of quick requests.
    pub(crate) meter: Meter,
    /// Interference, sizes of tasks and demand of quick requests.
    pub(crate) colocation: Tables,
    /// The values that the fleet configuration sets for this worker.
    pub(crate) values: Values,
    /// The byte budget of reports.
    pub(crate) budget: Budget,
    /// The entry that owns each ledger.
    pub(crate) owners: HashMap<u32, SocketAddr>,
    /// Wakes the report session of each entry.
    pub(crate) sessions: HashMap<SocketAddr, Rc<Wake>>,
    /// Entries named by the last reply.
    pub(crate) entries: Vec<SocketAddr>,
    /// The fleet configuration in force.
    pub(crate) config: spread::State,
    /// Whether the configuration drains the worker.
    pub(crate) draining: bool,
    /// Whether the agent is leaving.
    pub(crate) leaving: bool,
    /// Entries that have answered a report with `leaving` set.
    pub(crate) leave_acknowledged: HashSet<SocketAddr>,
    waiting: HashMap<Id, oneshot::Sender<std::result::Result<(), Refusal>>>,
    admitted: HashMap<Key, Id>,
    unconfirmed: Vec<Unconfirmed>,
    next_id: u64,
}

/// The reservation of a request that may still run at the target.
#[derive(Clone, Debug)]
struct Unconfirmed {
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
            colocation: Tables::new(),
            values: Values::default(),
            draining: false,
            budget: Budget::default(),
            owners: HashMap::new(),
            sessions: HashMap::new(),
            entries: Vec::new(),
            config: spread::State::default(),
            leaving: false,
            leave_acknowledged: HashSet::new(),
            waiting: HashMap::new(),
            admitted: HashMap::new(),
            unconfirmed: Vec::new(),
            next_id: 1,
        }
    }

    /// Whether any request may still run at the target after its exchange failed.
    pub(crate) fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Keeps a reservation until the worker's list confirms that the work has ended.
    pub(crate) fn add_unconfirmed(&mut self, id: Id, name: Name, now: Time) {
        self.unconfirmed.push(Unconfirmed { id, name, since: now });
    }

    /// Runs admission and returns the tasks to start.
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

    /// Queues a request; the receiver resolves when it may start or is refused.
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

    /// Withdraws a queued request; returns `false` if it has started.
    pub(crate) fn withdraw(&mut self, class: Class, id: Id, deadline: Time) -> bool {
        self.waiting.remove(&id);
        self.admission.withdraw(class, id, deadline).is_some()
    }

    /// Releases a reservation whose work is known to have ended.
    pub(crate) fn release(&mut self, id: Id) {
        self.admission.release(id);
        self.colocation.request_kinds.remove(&id);
    }

    /// Refuses new work from now on.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.admission.leave();
    }

    /// Whether any work is running or queued.
    pub(crate) fn is_busy(&self) -> bool {
        let tasks = self.leases.tasks().next().is_some();
        tasks || !self.waiting.is_empty() || !self.admission.used().is_empty()
    }

    /// Whether no work is in progress and all entries know that the agent is leaving.
    pub(crate) fn is_idle(&self) -> bool {
        let acknowledged =
            self.sessions.keys().all(|entry| self.leave_acknowledged.contains(entry));
        let no_tasks = self.leases.tasks().next().is_none();
        acknowledged && no_tasks && self.admission.used().is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn next_id(&mut self) -> Id {
        self.next_id += 1;
        Id(self.next_id)
    }

    /// Resources available for new batch tasks.
    pub(crate) fn batch_room(&self, now: Time) -> Bundle {
        if self.leaving || self.draining || !self.values.batch {
            return Bundle::default();
        }
        let room = self.admission.batch_offer(&self.reserve(now));
        Bundle { slots: room.slots.min(self.allowed_starts(now)), ..room }
    }

    /// Resources kept free for quick requests.
    pub(crate) fn reserve(&self, now: Time) -> Bundle {
        self.colocation.peak.reserve(&self.admission.capacity(), now)
    }

    /// The resources reserved for an admitted task.
    pub(crate) fn reserved(&self, key: &Key) -> Option<Bundle> {
        self.admission.need(*self.admitted.get(key)?)
    }

    /// Changes the resources reserved for an admitted task.
    pub(crate) fn resize_task(&mut self, key: &Key, need: Bundle) {
        if let Some(&id) = self.admitted.get(key) {
            self.admission.resize_work(id, need);
        }
    }

    /// Offers a granted task for admission.
    pub(crate) fn offer_task(&mut self, key: &Key, now: Time) {
        if !self.values.batch {
            return self
                .leases
                .refuse(key, "the fleet configuration allows no batch tasks on this worker");
        }
        let Some(task) = self.leases.get(key) else { return };
        let kind = task.grant.kind.clone();
        let need = self.estimated_need(&kind, &task.grant.resources);
        self.record_grant(&kind, now);
        let id = self.next_id();
        // The lease table withdraws the task when its lease expires.
        let deadline = Time::NEVER;
        let ticket = Ticket { id, class: Class::Batch, need, deadline, offered: now };
        match self.admission.offer(ticket, Duration::ZERO, now) {
            Ok(()) => {
                self.admitted.insert(key.clone(), id);
            }
            Err(refusal) => self.leases.refuse(key, &refusal.to_string()),
        }
    }

    /// Removes a task from the queue.
    pub(crate) fn withdraw_task(&mut self, key: &Key) {
        let Some(id) = self.admitted.remove(key) else { return };
        self.admission.withdraw(Class::Batch, id, Time::NEVER);
    }

    /// Releases the reservation of a task that has ended or did not start.
    pub(crate) fn release_task(&mut self, key: &Key) {
        if let Some(id) = self.admitted.remove(key) {
            self.admission.release(id);
        }
        self.colocation.shares.remove(key);
    }

    fn key_of(&self, id: Id) -> Option<Key> {
        self.admitted.iter().find(|(_, other)| **other == id).map(|(key, _)| key.clone())
    }

    fn start(&mut self, ticket: &Ticket) -> Option<Key> {
        if ticket.class == Class::Batch {
            return self.key_of(ticket.id);
        }
        let delivered =
            self.waiting.remove(&ticket.id).is_some_and(|sender| sender.send(Ok(())).is_ok());
        if !delivered {
            // The request was abandoned while it was queued; nothing was sent for it.
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
            // The receiver is gone when the request was abandoned.
            let _ = sender.send(Err(refusal));
        }
    }

    /// Adopts the batch tasks that the worker holds; those that it lost become lapsed.
    pub(crate) fn adopt_tasks(&mut self, attachment: &Attachment, tasks: &[Task], now: Time) {
        for task in tasks {
            let known = self.admitted.contains_key(&task.key);
            let adoption = batch::adoption(attachment, task, now);
            self.leases.adopt(task.key.clone(), adoption, &batch::observation(task));
            if !known && !task.phase.is_final() {
                let id = self.adopt(Class::Batch, task.resources, now);
                self.admitted.insert(task.key.clone(), id);
            }
        }
        self.end_missing(tasks);
    }

    /// Marks tasks as lapsed that were sent to the worker and are not in its list after a restart.
    fn end_missing(&mut self, tasks: &[Task]) {
        let listed = |key: &Key| tasks.iter().any(|task| task.key == *key);
        let sent = self.leases.tasks().filter(|(key, task)| task.may_run() && !listed(key));
        let missing: Vec<Key> = sent.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.leases.observe(&key, &batch::lapsed());
            self.release_task(&key);
        }
    }

    /// Reserves resources for requests that already run at the target, until their end is confirmed.
    pub(crate) fn adopt_requests(&mut self, requests: &[ActiveRequest], now: Time) {
        for request in requests {
            if self.unconfirmed.iter().any(|reservation| reservation.name == request.id) {
                continue;
            }
            let id = self.adopt(Class::Quick, request.resources, now);
            self.unconfirmed.push(Unconfirmed { id, name: request.id.clone(), since: now });
        }
    }

    fn adopt(&mut self, class: Class, need: Bundle, now: Time) -> Id {
        let id = self.next_id();
        self.admission.adopt(Ticket { id, class, need, deadline: Time::NEVER, offered: now });
        id
    }

    /// Applies the worker's list of tasks, requested at `asked`; returns the tasks that have ended.
    pub(crate) fn observe_tasks(&mut self, tasks: &[Task], asked: Time) -> Vec<Key> {
        let mut ended = Vec::new();
        for task in tasks {
            if self.leases.observe(&task.key, &batch::observation(task)) {
                self.record_run(&task.key);
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

    /// Records the run time of a task that ran to completion without resuming from a checkpoint.
    fn record_run(&mut self, key: &Key) {
        let Some(task) = self.leases.get(key) else { return };
        let complete = task.phase == Phase::Done && task.grant.checkpoint.is_empty();
        if !complete || task.grant.expected_run.is_zero() {
            return;
        }
        let run = Duration::from_millis(task.run_ms);
        let now = Monotonic.now();
        self.colocation.estimates.learn_run(&task.grant.kind, run, task.grant.expected_run, now);
    }

    /// Releases unconfirmed reservations whose requests the worker no longer lists.
    ///
    /// Those added after the list was requested, at `asked`, are kept.
    pub(crate) fn confirm_requests(&mut self, requests: &[ActiveRequest], asked: Time) {
        let is_listed = |reservation: &Unconfirmed| {
            requests.iter().any(|request| request.id == reservation.name)
        };
        let (ended, unconfirmed) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition(|reservation| reservation.since <= asked && !is_listed(reservation));
        self.unconfirmed = unconfirmed;
        for reservation in ended {
            self.release(reservation.id);
        }
    }
}

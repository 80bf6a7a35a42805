//! The table of running and waiting work of one worker.

use super::{Id, Queue, Refusal, Result, Settings, Ticket};
use crate::injected::{self, Fault};
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::time::Duration;

/// A command that the caller of [`Table::tick`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start the work; its resources are reserved.
    Start(Ticket),
    /// Tell the caller of the work that it is refused.
    Refuse(Ticket, Refusal),
}

/// Reservations and queues of one worker.
#[derive(Clone, Debug)]
pub struct Table {
    settings: Settings,
    capacity: Bundle,
    running: HashMap<Id, Ticket>,
    used: Usage,
    quick: Queue,
    watch: Queue,
    batch: Queue,
    leaving: bool,
}

/// Resources reserved by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    quick: Bundle,
    watch: Bundle,
    batch: Bundle,
}

impl Usage {
    fn of(&mut self, class: Class) -> &mut Bundle {
        match class {
            Class::Quick => &mut self.quick,
            Class::Watch => &mut self.watch,
            Class::Batch => &mut self.batch,
        }
    }

    fn total(&self) -> Bundle {
        self.quick.plus(&self.watch).plus(&self.batch)
    }
}

impl Table {
    /// Creates the table of an idle worker with `capacity`.
    pub fn new(settings: Settings, capacity: Bundle) -> Self {
        Self {
            settings,
            capacity,
            running: HashMap::new(),
            used: Usage::default(),
            quick: Queue::default(),
            watch: Queue::default(),
            batch: Queue::default(),
            leaving: false,
        }
    }

    /// Sets the capacity of the worker; running work keeps its reservations.
    pub fn resize(&mut self, capacity: Bundle) {
        self.capacity = capacity;
    }

    /// Sets the largest number of connections that watchers hold at once.
    pub fn cap_watchers(&mut self, connections: u32) {
        self.settings.watch_connections = connections;
    }

    /// Accepts new work again after [`Table::leave`].
    pub fn cancel_leave(&mut self) {
        self.leaving = false;
    }

    /// Refuses new work from now on; waiting work is refused at the next tick.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the capacity of the worker.
    pub fn capacity(&self) -> Bundle {
        self.capacity
    }

    /// Returns the resources reserved by all classes.
    pub fn used(&self) -> Bundle {
        self.used.total()
    }

    /// Returns the resources reserved by `class`.
    pub fn used_by(&self, class: Class) -> Bundle {
        let mut used = self.used;
        *used.of(class)
    }

    /// Returns the number of running tickets of `class`.
    pub fn running(&self, class: Class) -> usize {
        self.running.values().filter(|ticket| ticket.class == class).count()
    }

    /// Returns the queue of `class`.
    pub fn queue(&self, class: Class) -> &Queue {
        match class {
            Class::Quick => &self.quick,
            Class::Watch => &self.watch,
            Class::Batch => &self.batch,
        }
    }

    /// Returns the slots available to quick work, including those that it uses.
    pub fn quick_slots(&self) -> u32 {
        let others = self.used.watch.plus(&self.used.batch);
        self.capacity.minus(&others).slots
    }

    /// Returns the resources free for further batch work, less `reserve` for quick work and the
    /// needs of waiting batch work.
    pub fn batch_offer(&self, reserve: &Bundle) -> Bundle {
        self.batch_room(reserve).minus(&self.batch.need())
    }

    /// Returns the resources on which batch work may start, less `reserve` for quick work.
    pub fn batch_room(&self, reserve: &Bundle) -> Bundle {
        let reserved = reserve.max(&self.used.quick);
        if injected::is_on(Fault::BatchUsageIgnored) {
            return self.capacity.minus(&reserved);
        }
        self.capacity.minus(&reserved).minus(&self.used.watch).minus(&self.used.batch)
    }

    /// Returns the earliest deadline of waiting work.
    pub fn next_deadline(&self) -> Option<Time> {
        let queues = [&self.quick, &self.watch, &self.batch];
        queues.into_iter().filter_map(Queue::first_deadline).min()
    }

    /// Adds work to the queue of its class; [`Table::tick`] starts it.
    ///
    /// `service` is the expected run time of a request of its class, zero if unknown.
    ///
    /// # Errors
    ///
    /// Fails if the work can never run here, its queue is full, it cannot start before its
    /// deadline, or the worker is leaving.
    pub fn offer(&mut self, ticket: Ticket, service: Duration, now: Time) -> Result<()> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if !self.max_need(ticket.class).holds(&ticket.need) {
            return Err(Refusal::NeverFits { need: ticket.need, capacity: self.capacity });
        }
        if ticket.deadline.passed(now) {
            return Err(Refusal::DeadlinePassed { deadline: ticket.deadline });
        }
        let (class, length) = (ticket.class, self.queue(ticket.class).len());
        if length >= self.queue_limit(class) {
            return Err(Refusal::QueueFull { class, length });
        }
        let wait = self.expected_wait(&ticket, service);
        if now.after(wait) > ticket.deadline {
            return Err(Refusal::TooLate { wait, deadline: ticket.deadline });
        }
        self.queue_mut(class).push(ticket);
        Ok(())
    }

    /// Reserves the resources of work that was found running at the worker after a restart of the
    /// agent.
    pub fn adopt(&mut self, ticket: Ticket) {
        self.reserve(ticket);
    }

    /// Replaces the reservation of running work after its usage was measured; the reservations may
    /// then exceed the capacity, see [`Table::excess`].
    pub fn resize_work(&mut self, id: Id, need: Bundle) {
        let Some(ticket) = self.running.get_mut(&id) else { return };
        let old = std::mem::replace(&mut ticket.need, need);
        let used = self.used.of(ticket.class);
        *used = used.minus(&old).plus(&need);
    }

    /// Returns the resources reserved for running work.
    pub fn need(&self, id: Id) -> Option<Bundle> {
        self.running.get(&id).map(|ticket| ticket.need)
    }

    /// Returns the resources reserved beyond the capacity.
    pub fn excess(&self) -> Bundle {
        self.used().minus(&self.capacity)
    }

    /// Returns the resources that waiting quick work needs beyond the free resources and those that
    /// running quick work releases within about one service time.
    pub fn quick_shortage(&self) -> Bundle {
        let free = self.capacity.minus(&self.used());
        self.quick.need().minus(&free).minus(&self.used.quick)
    }

    /// Removes waiting work whose caller gave up.
    pub fn withdraw(&mut self, class: Class, id: Id, deadline: Time) -> Option<Ticket> {
        self.queue_mut(class).remove(id, deadline)
    }

    /// Releases the reservation of work; call it only after the end of the work is confirmed.
    pub fn release(&mut self, id: Id) -> Option<Ticket> {
        let ticket = self.running.remove(&id)?;
        let used = self.used.of(ticket.class);
        *used = used.minus(&ticket.need);
        Some(ticket)
    }

    /// Starts work that fits and refuses work whose deadline has passed; `reserve` is kept free of
    /// batch work.
    pub fn tick(&mut self, now: Time, reserve: &Bundle) -> Vec<Command> {
        let mut commands = Vec::new();
        for class in [Class::Quick, Class::Watch, Class::Batch] {
            self.refuse_expired(class, now, &mut commands);
            self.start_fitting(class, reserve, &mut commands);
        }
        commands
    }

    fn refuse_expired(&mut self, class: Class, now: Time, commands: &mut Vec<Command>) {
        let until = if self.leaving { Time::NEVER } else { now };
        for ticket in self.queue_mut(class).take_expired(until) {
            let deadline = ticket.deadline;
            let late = deadline.passed(now);
            let refusal =
                if late { Refusal::DeadlinePassed { deadline } } else { Refusal::Leaving };
            commands.push(Command::Refuse(ticket, refusal));
        }
    }

    fn start_fitting(&mut self, class: Class, reserve: &Bundle, commands: &mut Vec<Command>) {
        let passes = self.settings.passes;
        loop {
            let room = self.room(class, reserve);
            let fits = |ticket: &Ticket| room.holds(&ticket.need);
            let Some(ticket) = self.queue_mut(class).take_fitting(passes, fits) else { return };
            self.reserve(ticket.clone());
            commands.push(Command::Start(ticket));
        }
    }

    fn reserve(&mut self, ticket: Ticket) {
        if self.running.contains_key(&ticket.id) {
            return;
        }
        let used = self.used.of(ticket.class);
        *used = used.plus(&ticket.need);
        self.running.insert(ticket.id, ticket);
    }

    /// Returns the resources on which work of `class` may start.
    fn room(&self, class: Class, reserve: &Bundle) -> Bundle {
        match class {
            Class::Quick => self.capacity.minus(&self.used.total()),
            Class::Batch => self.batch_room(reserve),
            Class::Watch => {
                let cap = self.max_need(class).minus(&self.used.watch);
                let room = self.capacity.minus(&self.used.total());
                Bundle { connections: room.connections.min(cap.connections), ..room }
            }
        }
    }

    /// Returns the largest resources that a single request of `class` may need.
    fn max_need(&self, class: Class) -> Bundle {
        if class != Class::Watch {
            return self.capacity;
        }
        let connections = self.capacity.connections.min(self.settings.watch_connections);
        Bundle { connections, ..self.capacity }
    }

    fn queue_limit(&self, class: Class) -> usize {
        match class {
            Class::Quick => self.settings.quick_queue,
            Class::Watch => self.settings.watch_queue,
            Class::Batch => self.settings.batch_queue,
        }
    }

    /// Estimates how long `ticket` waits if each slot finishes one request per `service`.
    fn expected_wait(&self, ticket: &Ticket, service: Duration) -> Duration {
        if ticket.class != Class::Quick {
            return Duration::ZERO;
        }
        let slots = self.quick_slots().max(1);
        let free = slots.saturating_sub(self.used.quick.slots) as usize;
        let ahead = self.quick.ahead_of(ticket.deadline);
        if ahead < free {
            return Duration::ZERO;
        }
        let rounds = (ahead - free) as u32 / slots;
        // On average, the first slot becomes free after half a service time.
        service / 2 + service * rounds
    }

    fn queue_mut(&mut self, class: Class) -> &mut Queue {
        match class {
            Class::Quick => &mut self.quick,
            Class::Watch => &mut self.watch,
            Class::Batch => &mut self.batch,
        }
    }
}

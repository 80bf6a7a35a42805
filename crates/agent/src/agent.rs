//! An agent, shared by its tasks.

use crate::batch;
use crate::state::{Started, State};
use crate::worker::{Attachment, Control};
use event_listener::{Event, EventListener};
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::agent::Settings;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::admission::{self, Id};
use shallotflow_wire::control::{Attached, Listing};
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

impl Agent {
    pub(crate) fn new(settings: Settings, control: Rc<dyn Control>, address: SocketAddr) -> Self {
        let inner = Inner {
            settings,
            incarnation: incarnation(),
            control,
            pool: crate::request::pool(),
            state: RefCell::new(State::new(address)),
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
        self.state().has_doubts()
    }

    /// Keeps a reservation until the worker's list confirms that its work has ended.
    pub(crate) fn doubt(&self, id: Id, name: Name) {
        self.state_mut().doubt(id, name, Monotonic.now());
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
    pub(crate) fn observe(&self, listed: &Listing, asked: Time) {
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
        let starts = state.admit(now);
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
    ) -> admission::Result<(Id, Started)> {
        let now = Monotonic.now();
        let mut state = self.state_mut();
        let (id, receiver) = state.enqueue(class, need, deadline, now)?;
        if class == Class::Quick {
            state.room.saw(kind, now);
        }
        drop(state);
        self.tick();
        Ok((id, receiver))
    }

    /// Takes back a request that waits; `false` when it has started.
    pub(crate) fn withdraw(&self, class: Class, id: Id, deadline: Time) -> bool {
        self.state_mut().withdraw(class, id, deadline)
    }

    /// Releases a reservation whose work has ended for sure.
    pub(crate) fn release(&self, id: Id) {
        self.state_mut().release(id);
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

/// A number that grows with each restart of an agent.
fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

//! The agent, shared by its asynchronous tasks.

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

/// How long a granted task waits for resources before it is returned to its owner.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// A handle to an agent; clones share its state.
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
    list_requested: Event,
}

impl Agent {
    pub(crate) fn new(settings: Settings, control: Rc<dyn Control>, address: SocketAddr) -> Self {
        let inner = Inner {
            settings,
            incarnation: incarnation(),
            control,
            pool: crate::request::pool(),
            state: RefCell::new(State::new(address)),
            list_requested: Event::new(),
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

    /// Drops the attachment: nothing is admitted until the agent is attached again.
    pub(crate) fn detach(&self) {
        self.state_mut().attachment = None;
    }

    /// Adopts the tasks and requests that the worker holds; only then is work admitted.
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

    /// Whether any request may still run at the target after its exchange failed.
    pub(crate) fn has_unconfirmed(&self) -> bool {
        self.state().has_unconfirmed()
    }

    /// Keeps a reservation until the worker's list confirms that the work has ended.
    pub(crate) fn add_unconfirmed(&self, id: Id, name: Name) {
        self.state_mut().add_unconfirmed(id, name, Monotonic.now());
        self.request_list();
    }

    /// Requests the worker's list at once, over a new connection.
    pub(crate) fn request_list(&self) {
        self.inner.list_requested.notify(usize::MAX);
    }

    /// Resolves when the worker's list must be read at once.
    pub(crate) fn list_requested(&self) -> EventListener {
        self.inner.list_requested.listen()
    }

    /// Applies a list that the worker made at some time after `asked`.
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

    /// Runs the lease and admission tables and executes their commands.
    pub(crate) fn tick(&self) {
        let now = Monotonic.now();
        let mut state = self.state_mut();
        if state.attachment.is_none() {
            return;
        }
        let commands = state.leases.tick(ADMISSION_TIMEOUT, now);
        let starts = state.admit(now);
        drop(state);
        batch::execute(self, commands);
        for key in starts {
            monoio::spawn(batch::start(self.clone(), key));
        }
    }

    /// Queues a request for admission; the receiver resolves when it may start or is refused.
    ///
    /// # Errors
    ///
    /// Refuses a request that cannot start on this worker within its deadline.
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
            state.colocation.record_request(kind, now);
        }
        drop(state);
        self.tick();
        Ok((id, receiver))
    }

    /// Withdraws a queued request; returns `false` if it has started.
    pub(crate) fn withdraw(&self, class: Class, id: Id, deadline: Time) -> bool {
        self.state_mut().withdraw(class, id, deadline)
    }

    /// Releases a reservation whose work is known to have ended.
    pub(crate) fn release(&self, id: Id) {
        self.state_mut().release(id);
        self.tick();
    }

    /// Wakes the session with the owner of `ledger`, or all sessions if the owner is unknown.
    pub(crate) fn wake_owner(&self, ledger: u32) {
        let state = self.state();
        let owner = state.owners.get(&ledger).and_then(|owner| state.sessions.get(owner));
        let Some(session) = owner else {
            drop(state);
            return self.wake_all();
        };
        session.notify();
    }

    /// Wakes all sessions.
    pub(crate) fn wake_all(&self) {
        for session in self.state().sessions.values() {
            session.notify();
        }
    }
}

/// The agent incarnation: a number that grows with each restart.
fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

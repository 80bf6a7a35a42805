use super::desk::Desk;
use super::{Control, Settings, look, report};
use event_listener::Event;
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::message::Profile;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::store::Store;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The agent's table with what its loops share.
pub struct Agent {
    pub(super) settings: Settings,
    pub(super) desk: RefCell<Desk>,
    pub(super) control: Rc<dyn Control>,
    pub(super) store: Rc<dyn Store>,
    /// Notified when the owner has to hear something.
    pub(super) news: Event,
    /// Notified when the worker has to be looked at without waiting.
    pub(super) attention: Event,
    pub(super) stopping: Cell<bool>,
}

impl Agent {
    /// An agent named `name`; `process` tells its processes apart.
    pub fn new(
        settings: Settings,
        name: Name,
        process: u64,
        control: Rc<dyn Control>,
        store: Rc<dyn Store>,
    ) -> Rc<Self> {
        let desk = Desk::new(settings.clone(), name, process, Boottime.now());
        Rc::new(Self {
            settings,
            desk: RefCell::new(desk),
            control,
            store,
            news: Event::new(),
            attention: Event::new(),
            stopping: Cell::new(false),
        })
    }

    /// Takes a registration of the worker in; `registration` counts those of one life.
    ///
    /// An older one than is known changes nothing.
    pub fn register(&self, profile: Profile, registration: u64) {
        let known = self.desk.borrow().registered();
        let now = Some((profile.incarnation.clone(), profile.status));
        if !self.desk.borrow_mut().register(profile, registration, Boottime.now()) {
            return;
        }
        if known != now {
            crate::log::decision("worker registered", &now);
            self.news.notify(usize::MAX);
            self.attention.notify(usize::MAX);
        }
    }

    /// The worker `id` has left; what it ran has ended.
    pub fn deregister(&self, id: &str) {
        if self.desk.borrow_mut().deregister(id) {
            crate::log::decision("worker left", &id);
            self.news.notify(usize::MAX);
        }
    }

    /// Whether an owner has been found.
    pub fn has_owner(&self) -> bool {
        self.desk.borrow().epoch() > 0
    }

    /// The state of the agent, for operators.
    pub fn dump(&self) -> serde_json::Value {
        self.desk.borrow().dump(Boottime.now())
    }

    /// Runs the loops; they end with the process.
    pub async fn run(self: Rc<Self>) {
        monoio::spawn(look::follow(self.clone()));
        report::follow(self).await;
    }

    /// Takes no more orders; what runs at the worker goes on.
    pub fn stop(&self) {
        self.stopping.set(true);
    }
}

use super::pace::Controller;
use super::run_table::RunTable;
use super::{Control, Settings, Verdict, look, report};
use event_listener::Event;
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::message::Profile;
use shallotflow_runtime::clock::Boottime;
use shallotflow_store::store::Store;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The agent: its table of runs and the state that its loops share.
pub struct Agent {
    pub(super) settings: Settings,
    pub(super) run_table: RefCell<RunTable>,
    /// Decides the paces of best-effort tasks.
    pub(super) controller: RefCell<Controller>,
    pub(super) control: Rc<dyn Control>,
    pub(super) store: Rc<dyn Store>,
    /// Notified when an update for the owner is due.
    pub(super) report_due: Event,
    /// Notified when the worker must be polled without waiting.
    pub(super) poll_due: Event,
    pub(super) stopping: Cell<bool>,
    /// Whether the last lists of the worker hid runs for too long.
    pub(super) hid_runs: Cell<bool>,
}

impl Agent {
    /// Creates the agent named `name`; `process` identifies its process.
    pub fn new(
        settings: Settings,
        name: Name,
        process: u64,
        control: Rc<dyn Control>,
        store: Rc<dyn Store>,
    ) -> Rc<Self> {
        let run_table = RunTable::new(settings.clone(), name, process, Boottime.now());
        Rc::new(Self {
            settings,
            run_table: RefCell::new(run_table),
            controller: RefCell::default(),
            control,
            store,
            report_due: Event::new(),
            poll_due: Event::new(),
            stopping: Cell::new(false),
            hid_runs: Cell::new(false),
        })
    }

    /// Applies a registration of the worker; `registration` counts those of one incarnation.
    ///
    /// A registration older than the known one, or one that contradicts it, changes nothing. One of another
    /// incarnation applies once the worker answers a poll as that one.
    pub fn register(self: &Rc<Self>, profile: Profile, registration: u64) {
        let known = self.run_table.borrow().registered();
        let now = Some((profile.incarnation.clone(), profile.status, profile.capacity));
        match self.run_table.borrow_mut().register(profile, registration, Boottime.now()) {
            Verdict::PassedOver => {
                crate::log::decision("heartbeat passed over", &(registration, now, known));
            }
            Verdict::Claimed => {
                self.poll_due.notify(usize::MAX);
            }
            Verdict::Applied if known != now => {
                crate::log::decision("worker registered", &now);
                self.report_due.notify(usize::MAX);
                self.poll_due.notify(usize::MAX);
            }
            Verdict::Applied => {}
        }
    }

    /// Records that the worker `id` has left; its runs have ended. `started_ms` is the start of its
    /// incarnation, if it says so.
    pub fn deregister(&self, id: &str, started_ms: Option<u64>) {
        if self.run_table.borrow_mut().deregister(id, started_ms) {
            crate::log::decision("worker left", &id);
            self.report_due.notify(usize::MAX);
        }
    }

    /// Whether an owner has been found.
    pub fn has_owner(&self) -> bool {
        self.run_table.borrow().epoch() > 0
    }

    /// Dumps the state of the agent for operators.
    pub fn dump(&self) -> serde_json::Value {
        self.run_table.borrow().dump(Boottime.now())
    }

    /// Runs the loops until the process ends.
    pub async fn run(self: Rc<Self>) {
        monoio::spawn(look::run(self.clone()));
        report::run(self).await;
    }

    /// Executes no more orders; runs at the worker continue.
    pub fn stop(&self) {
        self.stopping.set(true);
    }
}

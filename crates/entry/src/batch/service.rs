//! The ledgers that this entry owns, and the calls on them.

use super::meters::Meters;
use super::remote::Remote;
use super::writer::{self, Fate};
use super::{Batch, Decision, Result, Submission, claim, convert, problem};
use crate::Settings;
use crate::session::Session;
use event_listener::Event;
use futures_util::future::LocalBoxFuture;
use serde_json::json;
use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::Code;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::ledger::{self, Change, ClockReading, Table, id};
use shallotflow_wire::proto;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often the systems run that depend on time alone.
const TICK: Duration = Duration::from_millis(50);
/// How often ownership is looked at without a change.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// How long a caller waits for its change to be in the store.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Writes to the store that all ledgers of the fleet may cause together.
const FLEET_WRITES_PER_SECOND: u32 = 200;

/// Batch work of an entry that has a store.
pub struct Service {
    pub(super) settings: Settings,
    pub(super) session: Rc<Session>,
    pub(super) table: RefCell<Table>,
    /// The lease under which the ledgers in the table were claimed.
    pub(super) claimed_under: Cell<i64>,
    remote: Remote,
    changed: Event,
    committed: Event,
    stopping: Cell<bool>,
}

impl Service {
    /// Starts to claim ledgers and to serve those that it gets.
    pub fn start(settings: Settings, session: Rc<Session>) -> Rc<Self> {
        let decisions =
            ledger::Settings { task_lease: settings.task_lease, ..ledger::Settings::default() };
        let service = Rc::new(Self {
            table: RefCell::new(Table::new(decisions)),
            claimed_under: Cell::new(0),
            remote: Remote::new(session.clone()),
            changed: Event::new(),
            committed: Event::new(),
            stopping: Cell::new(false),
            settings,
            session,
        });
        monoio::spawn(tick(service.clone()));
        monoio::spawn(claim_ledgers(service.clone()));
        service
    }

    /// The session under which ledgers are owned.
    pub fn session(&self) -> &Rc<Session> {
        &self.session
    }

    /// Writes what waits, then gives up every ledger.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let deadline = Monotonic.now().after(CONFIRM_TIMEOUT);
        while self.table.borrow().is_writing() && !deadline.passed(Monotonic.now()) {
            monoio::time::sleep(TICK).await;
        }
        claim::drop_all(self);
        // Without an answer the lease ends by itself.
        let _ = self.session.close().await;
    }

    /// Starts the writer of a ledger that was just claimed.
    pub(super) fn start_writer(self: &Rc<Self>, ledger: u32, epoch: u64) {
        monoio::spawn(write_segments(self.clone(), ledger, epoch));
    }

    /// Wakes those that wait for a commit, after a ledger was lost.
    pub(super) fn wake(&self) {
        self.changed.notify(usize::MAX);
        self.committed.notify(usize::MAX);
    }

    fn owns(&self, ledger: u32, epoch: u64) -> bool {
        self.table.borrow().owned().any(|owned| owned == (ledger, epoch))
    }

    /// How long a writer pauses between two segments, so that the fleet stays within its writes.
    fn write_interval(&self) -> Duration {
        Duration::from_secs(1) * self.settings.ledgers / FLEET_WRITES_PER_SECOND
    }

    /// Waits until `marks` are committed or cannot be any more, at most until `deadline`.
    async fn confirm(&self, marks: &[Change], deadline: Time) {
        self.changed.notify(usize::MAX);
        loop {
            let committed = self.committed.listen();
            if self.is_settled(marks) || deadline.passed(Monotonic.now()) {
                return;
            }
            let left = deadline.remaining(Monotonic.now());
            // Either way the marks are looked at again.
            let _ = monoio::time::timeout(left, committed).await;
        }
    }

    fn is_settled(&self, marks: &[Change]) -> bool {
        let table = self.table.borrow();
        marks.iter().all(|mark| table.is_committed(*mark) || !table.may_commit(*mark))
    }

    async fn report(&self, request: &proto::ReportRequest) -> Decision {
        let received = Monotonic.now();
        if self.session.lease(received).is_none() {
            return Decision::default();
        }
        let report = convert::report(request);
        let pending = self.table.borrow_mut().apply_report(&report, moment());
        let marks: Vec<Change> = pending.changes().collect();
        let patience = self.settings.beat.min(self.settings.task_lease / 4);
        self.confirm(&marks, received.after(patience)).await;
        if self.session.lease(Monotonic.now()).is_none() {
            return Decision::default();
        }
        convert::decision(self.table.borrow().reply(&pending))
    }

    async fn submit(&self, id: Name, spec: Spec) -> Result<Submission> {
        if self.session.is_failing() {
            return Err(problem::store_unavailable());
        }
        let submitted = self.table.borrow_mut().submit(id.clone(), spec, moment());
        let (mark, created) = submitted.map_err(|error| problem::refused(&error))?;
        self.confirm(&[mark], Monotonic.now().after(CONFIRM_TIMEOUT)).await;
        let mut table = self.table.borrow_mut();
        if table.is_committed(mark) {
            let record = table.read(&id).map_err(|_| problem::store_unavailable())?.clone();
            return Ok(Submission { record, created });
        }
        if !table.may_commit(mark) {
            return Err(problem::deposed());
        }
        let withdrawn = created && table.withdraw(&id);
        Err(if withdrawn { problem::store_unavailable() } else { problem::unconfirmed() })
    }

    fn read(&self, id: &Name) -> Result<Record> {
        if self.session.lease(Monotonic.now()).is_none() {
            return Err(problem::no_owner(id::ledger(id).unwrap_or_default()));
        }
        let table = self.table.borrow();
        table.read(id).cloned().map_err(|error| problem::refused(&error))
    }

    async fn cancel(&self, id: &Name) -> Result<Record> {
        let cancelled = self.table.borrow_mut().cancel(id, moment());
        let mark = cancelled.map_err(|error| problem::refused(&error))?;
        self.confirm(&[mark], Monotonic.now().after(CONFIRM_TIMEOUT)).await;
        let table = self.table.borrow();
        if !table.is_committed(mark) {
            let deposed = !table.may_commit(mark);
            return Err(if deposed { problem::deposed() } else { problem::unconfirmed() });
        }
        table.read(id).cloned().map_err(|error| problem::refused(&error))
    }

    /// Carries out an idempotent operation where the ledger is owned; once more if the owner
    /// changes meanwhile.
    async fn at_owner<T>(
        &self,
        id: &Name,
        here: impl AsyncFn() -> Result<T>,
        there: impl AsyncFn(u32) -> Result<T>,
    ) -> Result<T> {
        let unknown = || ledger::Error::UnknownJob { id: id.clone() };
        let ledger = id::ledger(id).ok_or_else(|| problem::refused(&unknown()))?;
        let owner = self.session.owner(ledger);
        let result = self.try_at_owner(ledger, &here, &there).await;
        let moved = self.session.owner(ledger) != owner;
        match result {
            Err(problem) if moved && problem.code == Code::OwnerUnavailable => {
                self.try_at_owner(ledger, &here, &there).await.map_err(|second| {
                    // What the first owner may have done stays unknown.
                    if problem.outcome == Outcome::Unknown { problem } else { second }
                })
            }
            other => other,
        }
    }

    async fn try_at_owner<T>(
        &self,
        ledger: u32,
        here: impl AsyncFn() -> Result<T>,
        there: impl AsyncFn(u32) -> Result<T>,
    ) -> Result<T> {
        let owned = self.table.borrow().owned().any(|(owned, _)| owned == ledger);
        if owned { here().await } else { there(ledger).await }
    }
}

/// The shared handle that the rest of the entry calls.
impl Batch for Rc<Service> {
    fn report(&self, report: Rc<proto::ReportRequest>) -> LocalBoxFuture<'static, Decision> {
        let service = self.clone();
        Box::pin(async move { Service::report(&service, &report).await })
    }

    fn submit(
        &self,
        id: Name,
        spec: Spec,
        hops: u32,
    ) -> LocalBoxFuture<'static, Result<Submission>> {
        let service = self.clone();
        Box::pin(async move {
            let (remote, spec) = (&service.remote, &spec);
            let there = async |ledger| remote.submit(ledger, &id, spec, hops).await;
            let here = async || Service::submit(&service, id.clone(), spec.clone()).await;
            service.at_owner(&id, here, there).await
        })
    }

    fn read(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>> {
        let service = self.clone();
        Box::pin(async move {
            let there = async |ledger| service.remote.read(ledger, &id, hops).await;
            let here = async || Service::read(&service, &id);
            service.at_owner(&id, here, there).await
        })
    }

    fn cancel(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>> {
        let service = self.clone();
        Box::pin(async move {
            let there = async |ledger| service.remote.cancel(ledger, &id, hops).await;
            let here = async || Service::cancel(&service, &id).await;
            service.at_owner(&id, here, there).await
        })
    }

    fn list(&self, state: Option<Name>, limit: usize) -> Vec<Record> {
        let table = self.table.borrow();
        table.list(state.as_deref(), limit).cloned().collect()
    }

    fn dump(&self) -> serde_json::Value {
        let table = self.table.borrow();
        let lease = self.session.lease(Monotonic.now());
        json!({
            "entry": &**self.session.name(),
            "lease": lease.map(|lease| lease.id),
            "store_failing": self.session.is_failing(),
            "entries": self.session.peers(),
            "ledgers": table.summary(),
            "jobs": table.len(),
            "waiting": table.waiting(),
        })
    }
}

/// The current time on both clocks.
pub(super) fn moment() -> ClockReading {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    ClockReading { now: Monotonic.now(), unix_ms }
}

async fn tick(service: Rc<Service>) {
    let meters = Meters::new();
    while !service.stopping.get() {
        monoio::time::sleep(TICK).await;
        service.table.borrow_mut().tick(moment());
        meters.publish(&mut service.table.borrow_mut());
        if service.table.borrow().writable_ledgers().next().is_some() {
            service.changed.notify(usize::MAX);
        }
    }
}

async fn claim_ledgers(service: Rc<Service>) {
    while !service.stopping.get() {
        let changed = service.session.listen();
        claim::run(&service).await;
        // A change only hastens the next look.
        let _ = monoio::time::timeout(CLAIM_INTERVAL, changed).await;
    }
}

async fn write_segments(service: Rc<Service>, ledger: u32, epoch: u64) {
    loop {
        let changed = service.changed.listen();
        let is_owner = || service.owns(ledger, epoch);
        if !is_owner() {
            return;
        }
        let composed = service.table.borrow_mut().next_segment(ledger);
        let Some(segment) = composed else {
            changed.await;
            continue;
        };
        match writer::write(&service.session, &segment, is_owner).await {
            Fate::Written => service.table.borrow_mut().confirm_segment(&segment),
            Fate::Deposed => claim::drop_one(&service, ledger, epoch),
        }
        service.committed.notify(usize::MAX);
        monoio::time::sleep(service.write_interval()).await;
    }
}

//! Operations on the ledgers that this entry owns.

use super::meters::Meters;
use super::remote::Remote;
use super::writer::{self, WriteOutcome};
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

/// Period of the work that depends only on time, such as expired task leases.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Period of the check of ledger ownership when nothing has changed.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// How long a caller waits for its change to be committed to the store.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the store writes of all ledgers in the fleet together.
const FLEET_WRITES_PER_SECOND: u32 = 200;

/// Batch work of an entry that has a store.
pub struct Service {
    pub(super) settings: Settings,
    pub(super) session: Rc<Session>,
    pub(super) table: RefCell<Table>,
    /// Identifier of the lease under which the ledgers in the table were claimed; 0 without one.
    pub(super) claim_lease_id: Cell<i64>,
    remote: Remote,
    changed: Event,
    committed: Event,
    stopping: Cell<bool>,
}

impl Service {
    /// Starts the background tasks that claim ledgers and advance the claimed ones.
    pub fn start(settings: Settings, session: Rc<Session>) -> Rc<Self> {
        let ledger_settings =
            ledger::Settings { task_lease: settings.task_lease, ..ledger::Settings::default() };
        let service = Rc::new(Self {
            table: RefCell::new(Table::new(ledger_settings)),
            claim_lease_id: Cell::new(0),
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

    /// Waits for pending changes to be written, then closes every ledger and ends the session.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let deadline = Monotonic.now().after(CONFIRM_TIMEOUT);
        while self.table.borrow().is_writing() && !deadline.passed(Monotonic.now()) {
            monoio::time::sleep(TICK_INTERVAL).await;
        }
        claim::close_all(self);
        // If the store does not answer, the lease expires by itself.
        let _ = self.session.close().await;
    }

    /// Starts the task that writes the segments of a newly claimed ledger.
    pub(super) fn start_writer(self: &Rc<Self>, ledger: u32, epoch: u64) {
        monoio::spawn(write_segments(self.clone(), ledger, epoch));
    }

    /// Wakes all writers and all tasks that wait for a commit, after a ledger was lost.
    pub(super) fn wake(&self) {
        self.changed.notify(usize::MAX);
        self.committed.notify(usize::MAX);
    }

    fn owns(&self, ledger: u32, epoch: u64) -> bool {
        self.table.borrow().owned().any(|owned| owned == (ledger, epoch))
    }

    /// The pause between two segments of a ledger that keeps the fleet within
    /// [`FLEET_WRITES_PER_SECOND`].
    fn write_interval(&self) -> Duration {
        Duration::from_secs(1) * self.settings.ledgers / FLEET_WRITES_PER_SECOND
    }

    /// Waits until each of `changes` is committed or can no longer be, at most until `deadline`.
    async fn wait_for_commit(&self, changes: &[Change], deadline: Time) {
        self.changed.notify(usize::MAX);
        loop {
            let committed = self.committed.listen();
            if self.are_resolved(changes) || deadline.passed(Monotonic.now()) {
                return;
            }
            let remaining = deadline.remaining(Monotonic.now());
            // The changes are checked again after a commit and after the timeout alike.
            let _ = monoio::time::timeout(remaining, committed).await;
        }
    }

    fn are_resolved(&self, changes: &[Change]) -> bool {
        let table = self.table.borrow();
        changes.iter().all(|change| table.is_committed(*change) || !table.may_commit(*change))
    }

    async fn report(&self, request: &proto::ReportRequest) -> Decision {
        let received = Monotonic.now();
        if self.session.lease(received).is_none() {
            return Decision::default();
        }
        let report = convert::report(request);
        let pending = self.table.borrow_mut().apply_report(&report, read_clocks());
        let changes: Vec<Change> = pending.changes().collect();
        let timeout = self.settings.beat.min(self.settings.task_lease / 4);
        self.wait_for_commit(&changes, received.after(timeout)).await;
        if self.session.lease(Monotonic.now()).is_none() {
            return Decision::default();
        }
        convert::decision(self.table.borrow().reply(&pending))
    }

    async fn submit(&self, id: Name, spec: Spec) -> Result<Submission> {
        if self.session.is_failing() {
            return Err(problem::store_unavailable());
        }
        let submitted = self.table.borrow_mut().submit(id.clone(), spec, read_clocks());
        let (change, created) = submitted.map_err(|error| problem::refused(&error))?;
        self.wait_for_commit(&[change], Monotonic.now().after(CONFIRM_TIMEOUT)).await;
        let mut table = self.table.borrow_mut();
        if table.is_committed(change) {
            let record = table.read(&id).map_err(|_| problem::store_unavailable())?.clone();
            return Ok(Submission { record, created });
        }
        if !table.may_commit(change) {
            return Err(problem::superseded());
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
        let cancelled = self.table.borrow_mut().cancel(id, read_clocks());
        let change = cancelled.map_err(|error| problem::refused(&error))?;
        self.wait_for_commit(&[change], Monotonic.now().after(CONFIRM_TIMEOUT)).await;
        let table = self.table.borrow();
        if !table.is_committed(change) {
            let superseded = !table.may_commit(change);
            return Err(if superseded { problem::superseded() } else { problem::unconfirmed() });
        }
        table.read(id).cloned().map_err(|error| problem::refused(&error))
    }

    /// Runs an idempotent operation at the ledger's owner: `local` if this entry owns it, otherwise
    /// `forward`. Tries once more if the owner changes during the first attempt.
    async fn at_owner<T>(
        &self,
        id: &Name,
        local: impl AsyncFn() -> Result<T>,
        forward: impl AsyncFn(u32) -> Result<T>,
    ) -> Result<T> {
        let unknown = || ledger::Error::UnknownJob { id: id.clone() };
        let ledger = id::ledger(id).ok_or_else(|| problem::refused(&unknown()))?;
        let owner = self.session.owner(ledger);
        let result = self.try_at_owner(ledger, &local, &forward).await;
        let owner_changed = self.session.owner(ledger) != owner;
        match result {
            Err(problem) if owner_changed && problem.code == Code::OwnerUnavailable => {
                self.try_at_owner(ledger, &local, &forward).await.map_err(|retried| {
                    // The first owner may have run the operation, so its unknown outcome takes
                    // precedence.
                    if problem.outcome == Outcome::Unknown { problem } else { retried }
                })
            }
            other => other,
        }
    }

    async fn try_at_owner<T>(
        &self,
        ledger: u32,
        local: impl AsyncFn() -> Result<T>,
        forward: impl AsyncFn(u32) -> Result<T>,
    ) -> Result<T> {
        let owned = self.table.borrow().owned().any(|(owned, _)| owned == ledger);
        if owned { local().await } else { forward(ledger).await }
    }
}

/// Implemented for the shared handle, because the returned futures keep a clone of it.
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
            let forward = async |ledger| remote.submit(ledger, &id, spec, hops).await;
            let local = async || Service::submit(&service, id.clone(), spec.clone()).await;
            service.at_owner(&id, local, forward).await
        })
    }

    fn read(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>> {
        let service = self.clone();
        Box::pin(async move {
            let forward = async |ledger| service.remote.read(ledger, &id, hops).await;
            let local = async || Service::read(&service, &id);
            service.at_owner(&id, local, forward).await
        })
    }

    fn cancel(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>> {
        let service = self.clone();
        Box::pin(async move {
            let forward = async |ledger| service.remote.cancel(ledger, &id, hops).await;
            let local = async || Service::cancel(&service, &id).await;
            service.at_owner(&id, local, forward).await
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
            "entries": self.session.peer_addresses(),
            "ledgers": table.summary(),
            "jobs": table.len(),
            "waiting": table.waiting(),
        })
    }
}

/// Reads the monotonic clock and the wall clock.
pub(super) fn read_clocks() -> ClockReading {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    ClockReading { now: Monotonic.now(), unix_ms }
}

async fn tick(service: Rc<Service>) {
    let meters = Meters::new();
    while !service.stopping.get() {
        monoio::time::sleep(TICK_INTERVAL).await;
        service.table.borrow_mut().tick(read_clocks());
        meters.publish(&mut service.table.borrow_mut());
        if service.table.borrow().writable_ledgers().next().is_some() {
            service.changed.notify(usize::MAX);
        }
    }
}

async fn claim_ledgers(service: Rc<Service>) {
    while !service.stopping.get() {
        let changed = service.session.listen();
        claim::rebalance(&service).await;
        // A change of the session triggers the next round early.
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
        let next = service.table.borrow_mut().next_segment(ledger);
        let Some(segment) = next else {
            changed.await;
            continue;
        };
        match writer::write(&service.session, &segment, is_owner).await {
            WriteOutcome::Written => service.table.borrow_mut().confirm_segment(&segment),
            WriteOutcome::Superseded => claim::close_superseded(&service, ledger, epoch),
        }
        service.committed.notify(usize::MAX);
        monoio::time::sleep(service.write_interval()).await;
    }
}

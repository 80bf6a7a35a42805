//! One worker with its queue.

use event_listener::Event;
use foldhash::{HashMap, HashMapExt};
use local_sync::semaphore::Semaphore;
use shallotflow_agent::worker::{Client, Control};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_wire::control::{Acknowledge, Attach, List, Start};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const INCARNATION: u64 = 1;
const LEASE: Duration = Duration::from_secs(3_600);
const LIST_WAIT_MS: u64 = 1_000;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The addresses and slots of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Address {
    /// Its control interface.
    pub control: SocketAddr,
    /// Its target.
    pub target: SocketAddr,
    /// Number of tasks and requests that may run concurrently.
    pub slots: u32,
}

/// A task of the naive scheduler.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) id: Name,
    pub(super) kind: Name,
    pub(super) resources: Bundle,
    pub(super) idempotent: bool,
    pub(super) payload: String,
}

/// A worker with its queue; clones share it.
#[derive(Clone)]
pub(super) struct Worker {
    pub(super) target: SocketAddr,
    pub(super) slots: Rc<Semaphore>,
    control: Rc<Client>,
    ended: Rc<RefCell<HashMap<Name, Phase>>>,
    changed: Rc<Event>,
}

impl Worker {
    pub(super) fn new(address: &Address) -> Self {
        Self {
            target: address.target,
            slots: Rc::new(Semaphore::new(address.slots as usize)),
            control: Rc::new(Client::new(address.control)),
            ended: Rc::new(RefCell::new(HashMap::new())),
            changed: Rc::default(),
        }
    }

    /// Attaches to the worker and records tasks that end.
    pub(super) async fn track_tasks(self) {
        while self.control.attach(Attach { incarnation: INCARNATION }).await.is_err() {
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        let mut after = 0;
        loop {
            let call = List { incarnation: INCARNATION, after, wait_ms: LIST_WAIT_MS };
            let Ok(listing) = self.control.list(call).await else {
                monoio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            after = listing.version;
            let ended = listing.tasks.into_iter().filter(|task| task.phase.is_final());
            let keys = self.record_ends(ended.map(|task| (task.key, task.phase)));
            if !keys.is_empty() {
                // If the call fails, the next list has the same tasks, which are acknowledged then.
                let _ =
                    self.control.acknowledge(Acknowledge { incarnation: INCARNATION, keys }).await;
            }
        }
    }

    /// Runs a task once a slot is free; returns its final phase.
    pub(super) async fn run(&self, task: Task) -> Option<Phase> {
        let _slot = self.slots.acquire().await.ok()?;
        let job = task.id.clone();
        let start = Start {
            incarnation: INCARNATION,
            key: Key { ledger: 0, job: task.id, attempt: 1 },
            epoch: 1,
            kind: task.kind,
            resources: task.resources,
            idempotent: task.idempotent,
            checkpoint: String::new(),
            payload: task.payload,
            deadline_us: Monotonic.now().after(LEASE).as_micros(),
        };
        self.control.start(start).await.ok()?;
        loop {
            let changed = self.changed.listen();
            if let Some(phase) = self.ended.borrow_mut().remove(&job) {
                return Some(phase);
            }
            changed.await;
        }
    }

    fn record_ends(&self, ended: impl Iterator<Item = (Key, Phase)>) -> Vec<Key> {
        let mut keys = Vec::new();
        for (key, phase) in ended {
            self.ended.borrow_mut().insert(key.job.clone(), phase);
            keys.push(key);
        }
        if !keys.is_empty() {
            self.changed.notify(usize::MAX);
        }
        keys
    }
}

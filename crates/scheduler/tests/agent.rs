//! The agent's loops, with a worker whose answers a test withholds.

#[path = "owner/store.rs"]
#[allow(dead_code)]
mod store;

use async_trait::async_trait;
use event_listener::Event;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use shallotflow_core::graph::{Id, Queue, Task};
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::message::{
    Incarnation, Kind, Order, Profile, Reply, Run, Status, Traits,
};
use shallotflow_runtime::{executor, listen};
use shallotflow_scheduler::agent::{Agent, Control, Lists, Result, Settings, Start};
use shallotflow_scheduler::entry::keys;
use shallotflow_scheduler::peers::{Call, serve};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use store::{Handle, Shared};

/// Stops a test that hangs; no test waits for it.
const HANG: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(2);
const TARGET_MS: u32 = 100;
const MISSED_MS: u32 = 300;

/// A worker that lists what was started on it; all serving tasks miss their target.
#[derive(Default)]
struct Worker {
    runs: RefCell<BTreeMap<Task, Run>>,
    /// The pace that was last set for each run, in percent.
    paces: RefCell<BTreeMap<Task, u8>>,
    withholds_polls: Cell<bool>,
    withheld: Cell<bool>,
}

fn incarnation() -> Incarnation {
    Incarnation { id: "worker-1".into(), started_ms: 1 }
}

fn task(index: u32) -> Task {
    Task { job: Id(1), occurrence: 0, step: 0, index }
}

#[async_trait(?Send)]
impl Control for Worker {
    async fn start(&self, _: &Incarnation, start: &Start, _: Duration) -> Result<u64> {
        let run = Run {
            task: start.task,
            run: start.run,
            checkpoint: None,
            percent: 100,
            measurement: MISSED_MS,
            pace: 100,
        };
        self.runs.borrow_mut().insert(start.task, run);
        Ok(1)
    }

    async fn stop(&self, _: &Incarnation, _: Task, _: u32, _: u64, _: Duration) -> Result<u64> {
        Ok(1)
    }

    async fn pace(
        &self,
        _: &Incarnation,
        task: Task,
        _: u32,
        percent: u8,
        _: u64,
        _: Duration,
    ) -> Result<u64> {
        self.paces.borrow_mut().insert(task, percent);
        Ok(1)
    }

    async fn poll(
        &self,
        _: Option<&Incarnation>,
        _: Option<u64>,
        _: u64,
        _: u64,
        _: Duration,
        _: Duration,
    ) -> Result<Lists> {
        if self.withholds_polls.get() {
            self.withheld.set(true);
            std::future::pending::<()>().await;
        }
        monoio::time::sleep(PAUSE).await;
        let running = self.runs.borrow().values().cloned().collect();
        Ok(Lists { incarnation: incarnation(), clock_ms: 1, running, ends: Vec::new() })
    }
}

/// An owner that sends the orders in `orders` with its replies.
async fn own(mut calls: UnboundedReceiver<Call>, orders: Rc<RefCell<Vec<Order>>>) {
    while let Some(call) = calls.next().await {
        let Call::Report(report, sender) = call else { continue };
        let orders = if report.complete { orders.take() } else { Vec::new() };
        let reply =
            Reply { epoch: 1, owned: true, sequence: report.sequence, orders, ..Reply::default() };
        monoio::spawn(async move {
            monoio::time::sleep(PAUSE).await;
            // An agent that has disconnected has no use for the reply.
            let _ = sender.send(reply);
        });
    }
}

fn start_order(number: u64, image: &str, target_ms: u32) -> Order {
    let traits = Traits {
        image: Some(image.into()),
        millicores: 1_000,
        best_effort: target_ms == 0,
        target_ms,
    };
    let kind = Kind::Start { text: "text".into(), checkpoint: None, traits };
    let index = u32::try_from(number).expect("a small number");
    Order { number, task: task(index), run: 1, kind }
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        monoio::time::sleep(PAUSE).await;
    }
}

async fn slows_a_new_run_before_the_next_poll() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = listen::bind(address).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let calls = serve(listener, Rc::new(Event::new()));
    let orders = Rc::new(RefCell::new(Vec::new()));
    monoio::spawn(own(calls, orders.clone()));
    let shared = Rc::new(Shared::default());
    let owner = serde_json::json!({ "epoch": 1, "entry": "a", "process": 1, "address": address });
    shared.put(keys::OWNER, &owner.to_string(), 0);
    let worker = Rc::new(Worker::default());
    let store = Rc::new(Handle { caller: "agent", shared });
    let agent = Agent::new(Settings::default(), "agent-1".into(), 1, worker.clone(), store);
    let profile = Profile {
        incarnation: incarnation(),
        service: Queue::SERVICE.into(),
        capacity: Bundle { millicores: 10_000, ..Bundle::default() },
        labels: Vec::new(),
        rack: None,
        status: Status::Ready,
    };
    agent.register(profile, 1);
    monoio::spawn(agent.run());

    orders.borrow_mut().push(start_order(1, "quotes", TARGET_MS));
    orders.borrow_mut().push(start_order(2, "render", 0));
    until(|| worker.paces.borrow().get(&task(2)).is_some_and(|pace| *pace < 100)).await;
    worker.withholds_polls.set(true);
    until(|| worker.withheld.get()).await;
    orders.borrow_mut().push(start_order(3, "render", 0));
    until(|| worker.paces.borrow().get(&task(3)).is_some_and(|pace| *pace < 100)).await;
}

#[test]
fn a_best_effort_run_that_starts_beside_a_missed_target_is_slowed_before_the_next_poll() {
    executor::run(async {
        let ended = monoio::time::timeout(HANG, slows_a_new_run_before_the_next_poll()).await;
        ended.expect("the run is slowed down");
    })
    .expect("a runtime");
}

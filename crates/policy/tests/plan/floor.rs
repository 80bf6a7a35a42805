//! A table with workers that do as they are told, and helpers that say what they report.

use shallotflow_core::graph::{Id, Job, Queue, Spec, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::message::{
    Answer, End, ExitReason, Incarnation, Kind, Order, Outcome, Profile, Report, Run, Status,
};
use shallotflow_policy::plan::{Phase, Settings, Table};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const SERVICE: &str = "press";

/// A worker with its agent.
#[derive(Clone, Debug)]
pub(crate) struct Hand {
    pub(crate) process: u64,
    pub(crate) born_ms: u64,
    pub(crate) millicores: u32,
    pub(crate) standing: Status,
    pub(crate) labels: Vec<Name>,
    pub(crate) running: BTreeMap<Task, Run>,
    pub(crate) ends: Vec<End>,
    pub(crate) answers: Vec<Answer>,
    pub(crate) orders: Vec<Order>,
    sequence: u64,
    received: u64,
    last_end: u64,
}

/// A table and its workers.
pub(crate) struct Floor {
    pub(crate) table: Table,
    pub(crate) hands: BTreeMap<Name, Hand>,
    pub(crate) now: Time,
    pub(crate) holders: Vec<Name>,
}

pub(crate) fn id(number: u64) -> Id {
    Id(number)
}

pub(crate) fn task(job: u64, step: u16, index: u32) -> Task {
    Task { job: Id(job), occurrence: 0, step, index }
}

pub(crate) fn step(count: u32, millicores: u32) -> Step {
    let need = Bundle { millicores, memory_mib: 100, ..Bundle::default() };
    Step { count, need, estimate_ms: 1_000, ..Step::default() }
}

pub(crate) fn job(steps: Vec<Step>) -> Job {
    let queue = Queue {
        name: Name::from("renders"),
        service: Name::from(SERVICE),
        attempts: 2,
        ..Queue::default()
    };
    Job { queue, spec: Spec { text: "render".into(), steps, ..Spec::default() }, accepted_ms: 0 }
}

impl Floor {
    /// The first owner, with `workers` of ten processors each that have all reported.
    pub(crate) fn new(workers: usize) -> Self {
        let mut floor = Self::owner(1, workers, Vec::new());
        floor.report_all();
        floor
    }

    /// The owner numbered `epoch` whose workers have not reported yet.
    pub(crate) fn owner(epoch: u64, workers: usize, missing: Vec<Name>) -> Self {
        let now = Time::from_millis(100_000);
        let hands = (0..workers).map(|number| (name(number), Hand::new())).collect();
        let table = Table::new(Settings::default(), epoch, missing, now);
        let holders = (0..workers).map(name).collect();
        Self { table, hands, now, holders }
    }

    pub(crate) fn wait(&mut self, span: Duration) {
        self.now = self.now.after(span);
    }

    /// Runs the systems once, as the owner does each tick.
    pub(crate) fn tick(&mut self) {
        self.table.expire(self.now, self.now.as_millis());
        self.table.place(self.now, &self.holders);
    }

    /// One worker reports all that it knows and takes its orders.
    pub(crate) fn report(&mut self, number: usize) {
        let name = name(number);
        let epoch = self.table.epoch();
        let hand = self.hands.get_mut(&name).expect("a worker");
        let report = hand.report(&name, epoch);
        self.table.apply_report(report, self.now);
        let reply = self.table.reply(&name);
        hand.answers.clear();
        hand.ends.retain(|end| end.number > reply.recorded);
        let received = hand.received;
        let fresh = reply.orders.into_iter().filter(|order| order.number > received);
        hand.orders.extend(fresh);
        hand.received = hand.orders.last().map_or(received, |order| order.number.max(received));
    }

    pub(crate) fn report_all(&mut self) {
        for number in 0..self.hands.len() {
            self.report(number);
        }
    }

    /// Every worker carries its orders out.
    pub(crate) fn carry_out(&mut self) {
        for hand in self.hands.values_mut() {
            hand.carry_out();
        }
    }

    /// The systems run, and what they order is carried out and answered.
    pub(crate) fn turn(&mut self) {
        self.tick();
        self.report_all();
        self.carry_out();
        self.report_all();
    }

    /// Records everything that is due, as the store does.
    pub(crate) fn record(&mut self) {
        self.wait(Duration::from_millis(500));
        for record in self.table.records(self.now, 100) {
            self.table.mark_recorded(record.job, record.version);
        }
    }

    pub(crate) fn end(&mut self, task: Task, how: ExitReason) {
        let hand = self.hands.values_mut().find(|hand| hand.running.contains_key(&task));
        hand.expect("a run of the task").end(task, how);
    }

    /// The worker that runs `task`.
    pub(crate) fn place_of(&self, task: Task) -> Option<usize> {
        self.hands.values().position(|hand| hand.running.contains_key(&task))
    }

    pub(crate) fn running(&self) -> Vec<Task> {
        let mut tasks: Vec<Task> =
            self.hands.values().flat_map(|hand| hand.running.keys().copied()).collect();
        tasks.sort_unstable();
        tasks
    }

    pub(crate) fn phase(&self, task: Task) -> Phase {
        let job = self.table.job(task.job).expect("a job");
        job.tasks[job.position(&task).expect("a task")].phase.clone()
    }
}

pub(crate) fn name(number: usize) -> Name {
    format!("agent-{number:02}").into()
}

impl Hand {
    fn new() -> Self {
        Self {
            process: 1,
            born_ms: 1,
            millicores: 10_000,
            standing: Status::Ready,
            labels: Vec::new(),
            running: BTreeMap::new(),
            ends: Vec::new(),
            answers: Vec::new(),
            orders: Vec::new(),
            sequence: 0,
            received: 0,
            last_end: 0,
        }
    }

    /// The agent's process starts again; the worker runs on.
    pub(crate) fn restart_agent(&mut self) {
        self.process += 1;
        self.sequence = 0;
        self.received = 0;
        self.orders.clear();
        self.answers.clear();
    }

    /// The worker starts again and knows nothing of before.
    pub(crate) fn restart_worker(&mut self) {
        self.born_ms += 1;
        self.running.clear();
        self.ends.clear();
        self.last_end = 0;
    }

    pub(crate) fn report(&mut self, agent: &Name, epoch: u64) -> Report {
        self.sequence += 1;
        Report {
            agent: agent.clone(),
            process: self.process,
            epoch,
            sequence: self.sequence,
            incarnation: Some(Incarnation { id: agent.clone(), started_ms: self.born_ms }),
            worker: Some(Profile {
                incarnation: Incarnation { id: agent.clone(), started_ms: self.born_ms },
                service: Name::from(SERVICE),
                capacity: Bundle {
                    millicores: self.millicores,
                    memory_mib: 10_000,
                    ..Bundle::default()
                },
                labels: self.labels.clone(),
                rack: None,
                status: self.standing,
            }),
            vacant: false,
            complete: true,
            running: Some(self.running.values().cloned().collect()),
            lacks_traits: false,
            ends: self.ends.clone(),
            answers: self.answers.clone(),
            received: self.received,
        }
    }

    pub(crate) fn carry_out(&mut self) {
        for order in std::mem::take(&mut self.orders) {
            let Order { task, run, kind, .. } = order;
            let outcome = match kind {
                Kind::Start { .. } => {
                    let percent = 0;
                    let row =
                        Run { task, run, checkpoint: None, percent, measurement: 0, pace: 100 };
                    self.running.insert(task, row);
                    Outcome::Started
                }
                Kind::Stop if self.running.get(&task).is_some_and(|own| own.run == run) => {
                    self.end(task, ExitReason::Stopped);
                    continue;
                }
                Kind::Stop => Outcome::Absent,
            };
            self.answers.push(Answer { task, run, outcome });
        }
    }

    pub(crate) fn end(&mut self, task: Task, how: ExitReason) {
        let Some(run) = self.running.remove(&task) else { return };
        self.last_end += 1;
        let checkpoint = run.checkpoint;
        self.ends.push(End { number: self.last_end, task, run: run.run, reason: how, checkpoint });
    }
}

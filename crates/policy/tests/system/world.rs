//! The simulation: all processes, the messages between them and the steps of a run.

use super::agent::Agent;
use super::entry::{Entry, Request};
use super::oracle::Oracle;
use super::packet::Packet;
use super::store::Store;
use super::worker::{NEED, Worker};
use shallotflow_core::job::{Spec, State};
use shallotflow_core::name::Name;
use shallotflow_core::task::Phase;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::id;
use std::time::Duration;

pub(crate) const ENTRIES: usize = 3;
pub(crate) const WORKERS: usize = 3;
const LEDGERS: u32 = 2;
/// Time between two rounds without failures.
const ROUND: Duration = Duration::from_millis(200);
/// Number of rounds after which every accepted job must have ended.
const ROUNDS_MAX: usize = 600;
/// Clock rates, thousandths; any two differ by less than the drift that the ledger allows.
const RATES: [u64; 6] = [1_000, 1_020, 985, 1_000, 980, 1_015];

/// One step of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Time advances, milliseconds.
    Advance(u16),
    /// A job is submitted through every entry that is not paused.
    Submit(u8),
    /// A job is cancelled through every entry that is not paused.
    Cancel(u8),
    /// An entry renews its lease.
    Renew(u8),
    /// An entry claims ledgers without an owner.
    Claim(u8),
    /// An entry runs its periodic work and writes uncommitted changes.
    Write(u8),
    /// An agent polls its worker and runs its tables.
    TickAgent(u8),
    /// An agent reports to an entry.
    Report {
        agent: u8,
        entry: u8,
    },
    /// The oldest messages arrive.
    DeliverSome(u8),
    /// One message arrives out of order.
    Deliver(u8),
    /// One message is lost.
    Drop(u8),
    /// One message arrives twice.
    Duplicate(u8),
    /// One message is held back, so that later ones overtake it.
    Hold(u8),
    /// One message that was held back arrives.
    Release(u8),
    /// Replies of an entry are held back for a time, milliseconds.
    HoldReplies {
        entry: u8,
        millis: u16,
    },
    /// An entry stops waiting for commits and replies with the committed decisions.
    Answer(u8),
    /// An entry cannot renew its lease for a time, milliseconds.
    BlockRenewal {
        entry: u8,
        millis: u16,
    },
    /// An agent's next command reaches its worker or is lost.
    DeliverCommand {
        agent: u8,
        lost: bool,
    },
    /// A running task is checkpointed.
    Checkpoint {
        worker: u8,
        task: u8,
    },
    /// A running task ends.
    Finish {
        worker: u8,
        task: u8,
        ok: bool,
    },
    /// An agent evicts a running task.
    Evict {
        agent: u8,
        task: u8,
    },
    /// A process is replaced by a new incarnation.
    RestartEntry(u8),
    RestartAgent(u8),
    RestartWorker(u8),
    /// A process is paused and receives no messages for a time, milliseconds.
    PauseEntry {
        entry: u8,
        millis: u16,
    },
    PauseAgent {
        agent: u8,
        millis: u16,
    },
    /// The store does not respond for a time, milliseconds.
    StoreDown(u16),
    /// All processes that are not paused or blocked run for a number of rounds.
    Rounds(u8),
}

/// A simulation run.
pub(crate) struct World {
    now: Time,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    workers: Vec<Worker>,
    store: Store,
    store_down_until: Time,
    packets: Vec<Packet>,
    held_back: Vec<Packet>,
    replies_held_until: [Time; ENTRIES],
    pub(crate) oracle: Oracle,
}

impl Default for World {
    fn default() -> Self {
        let agent = |number| Agent::new(number, ENTRIES, RATES[ENTRIES + number]);
        Self {
            now: Time::from_millis(1_000),
            entries: (0..ENTRIES).map(|number| Entry::new(number, RATES[number])).collect(),
            agents: (0..WORKERS).map(agent).collect(),
            workers: (0..WORKERS).map(Worker::new).collect(),
            store: Store::default(),
            store_down_until: Time::ZERO,
            packets: Vec::new(),
            held_back: Vec::new(),
            replies_held_until: [Time::ZERO; ENTRIES],
            oracle: Oracle::default(),
        }
    }
}

impl World {
    /// Creates a run in which entries own the ledgers and agents have reported.
    pub(crate) fn started() -> Self {
        let mut world = Self::default();
        world.step(Step::Rounds(2));
        world
    }

    /// Carries out one step.
    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Advance(millis) => self.advance(Duration::from_millis(millis.into())),
            Step::Submit(job) => self.submit(job),
            Step::Cancel(job) => self.cancel(job),
            Step::Renew(entry) => self.renew(entry.into()),
            Step::Claim(entry) => self.claim(entry.into()),
            Step::Write(entry) => self.write(entry.into()),
            Step::TickAgent(agent) => self.tick_agent(agent.into()),
            Step::Report { agent, entry } => self.report(agent.into(), entry.into()),
            Step::DeliverSome(count) => self.deliver_some(count.into()),
            Step::Deliver(index) => self.deliver(index.into()),
            Step::Drop(index) => self.drop_packet(index.into()),
            Step::Duplicate(index) => self.duplicate(index.into()),
            Step::Hold(index) => self.hold(index.into()),
            Step::Release(index) => self.release(index.into()),
            Step::HoldReplies { entry, millis } => {
                let until = self.now.after(Duration::from_millis(millis.into()));
                self.replies_held_until[entry as usize % ENTRIES] = until;
            }
            Step::Answer(entry) => self.answer(entry.into()),
            Step::BlockRenewal { entry, millis } => {
                let until = self.now.after(Duration::from_millis(millis.into()));
                self.entries[entry as usize % ENTRIES].renewal_blocked_until = until;
            }
            Step::DeliverCommand { agent, lost } => self.deliver_command(agent.into(), lost),
            Step::Checkpoint { worker, task } => self.checkpoint(worker.into(), task.into()),
            Step::Finish { worker, task, ok } => self.finish(worker.into(), task.into(), ok),
            Step::Evict { agent, task } => self.agents[agent as usize % WORKERS].evict(task.into()),
            Step::RestartEntry(entry) => self.entries[entry as usize % ENTRIES].restart(),
            Step::RestartAgent(agent) => self.agents[agent as usize % WORKERS].restart(),
            Step::RestartWorker(worker) => {
                let worker = worker as usize % WORKERS;
                self.workers[worker].restart(&mut self.oracle);
                self.agents[worker].break_connection();
            }
            Step::PauseEntry { entry, millis } => {
                let until = self.now.after(Duration::from_millis(millis.into()));
                self.entries[entry as usize % ENTRIES].paused_until = until;
            }
            Step::PauseAgent { agent, millis } => {
                let until = self.now.after(Duration::from_millis(millis.into()));
                self.agents[agent as usize % WORKERS].paused_until = until;
            }
            Step::StoreDown(millis) => {
                self.store_down_until = self.now.after(Duration::from_millis(millis.into()));
            }
            Step::Rounds(count) => {
                for _ in 0..count {
                    self.round();
                    self.settle();
                }
            }
        }
        self.settle();
    }

    /// Ends all failures and runs until every accepted job has ended.
    pub(crate) fn recover(&mut self) {
        for entry in &mut self.entries {
            entry.paused_until = Time::ZERO;
            entry.renewal_blocked_until = Time::ZERO;
        }
        for agent in &mut self.agents {
            agent.paused_until = Time::ZERO;
        }
        self.store_down_until = Time::ZERO;
        self.replies_held_until = [Time::ZERO; ENTRIES];
        for _ in 0..ROUNDS_MAX {
            self.round();
            self.settle();
            for worker in 0..WORKERS {
                self.finish(worker, 0, true);
            }
            if self.open_jobs().is_empty() {
                return;
            }
        }
        for (job, state) in self.open_jobs() {
            self.oracle.lost(&job, &format!("is {state} long after the failures ended"));
        }
    }

    /// Runs one exchange of all processes without faults.
    fn round(&mut self) {
        self.advance(ROUND);
        for entry in 0..ENTRIES {
            self.renew(entry);
        }
        self.deliver_all();
        for entry in 0..ENTRIES {
            self.claim(entry);
        }
        self.deliver_all();
        for worker in 0..WORKERS {
            self.tick_agent(worker);
            self.deliver_commands(worker);
            self.tick_agent(worker);
            for entry in 0..ENTRIES {
                self.report(worker, entry);
            }
        }
        self.deliver_all();
        for _ in 0..2 {
            for entry in 0..ENTRIES {
                self.write(entry);
            }
            self.deliver_all();
        }
        for worker in 0..WORKERS {
            self.deliver_commands(worker);
            self.tick_agent(worker);
            self.deliver_commands(worker);
        }
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now.after(span);
    }

    /// Runs what needs no step: workers expire leases, ready replies are sent, callers get
    /// responses.
    fn settle(&mut self) {
        for (worker, agent) in self.workers.iter_mut().zip(&self.agents) {
            worker.tick(agent.local(self.now), &mut self.oracle);
        }
        for entry in &mut self.entries {
            if !entry.paused_until.passed(self.now) {
                continue;
            }
            self.packets.extend(entry.replies(false, self.now));
            for (request, record) in entry.committed_requests(self.now) {
                record_response(&mut self.oracle, &request, &record.id, &record.state);
            }
        }
    }

    fn is_running(&self, entry: usize) -> bool {
        self.entries[entry % ENTRIES].paused_until.passed(self.now)
    }

    fn submit(&mut self, job: u8) {
        let spec = spec(job);
        let id = id_of(job);
        if !spec.idempotent {
            self.oracle.once.insert(id.clone());
        }
        for entry in self.entries.iter_mut().filter(|entry| entry.paused_until.passed(self.now)) {
            entry.submit(id.clone(), spec.clone(), self.now);
        }
    }

    fn cancel(&mut self, job: u8) {
        for entry in self.entries.iter_mut().filter(|entry| entry.paused_until.passed(self.now)) {
            entry.cancel(&id_of(job), self.now);
        }
    }

    fn renew(&mut self, entry: usize) {
        let blocked = !self.entries[entry % ENTRIES].renewal_blocked_until.passed(self.now);
        if blocked || !self.is_running(entry) || !self.store_down_until.passed(self.now) {
            return;
        }
        let packet = self.entries[entry % ENTRIES].renew(&mut self.store, self.now);
        self.packets.push(packet);
    }

    fn claim(&mut self, entry: usize) {
        if !self.is_running(entry) {
            return;
        }
        let claims = self.entries[entry % ENTRIES].claim(&mut self.store, LEDGERS, self.now);
        self.packets.extend(claims);
    }

    fn write(&mut self, entry: usize) {
        if !self.is_running(entry) {
            return;
        }
        let entry = &mut self.entries[entry % ENTRIES];
        entry.tick(self.now);
        self.packets.extend(entry.write());
    }

    fn tick_agent(&mut self, agent: usize) {
        let agent = agent % WORKERS;
        if self.agents[agent].paused_until.passed(self.now) {
            self.agents[agent].tick(&mut self.workers[agent], self.now);
        }
    }

    fn report(&mut self, agent: usize, entry: usize) {
        let agent = &mut self.agents[agent % WORKERS];
        if agent.paused_until.passed(self.now) {
            self.packets.extend(agent.report(entry % ENTRIES, self.now));
        }
    }

    fn deliver_command(&mut self, agent: usize, lost: bool) {
        let agent = agent % WORKERS;
        if lost {
            self.agents[agent].drop_command();
        } else {
            self.agents[agent].deliver_command(
                &mut self.workers[agent],
                self.now,
                &mut self.oracle,
            );
        }
    }

    fn deliver_commands(&mut self, agent: usize) {
        while self.agents[agent].has_commands() {
            self.deliver_command(agent, false);
        }
    }

    fn checkpoint(&mut self, worker: usize, task: usize) {
        let worker = &mut self.workers[worker % WORKERS];
        if let Some(key) = worker.nth_running(task) {
            worker.checkpoint(&key);
        }
    }

    fn finish(&mut self, worker: usize, task: usize, ok: bool) {
        let worker = &mut self.workers[worker % WORKERS];
        let phase = if ok { Phase::Done } else { Phase::Failed };
        if let Some(key) = worker.nth_running(task) {
            worker.finish(&key, phase, &mut self.oracle);
        }
    }

    fn deliver_all(&mut self) {
        while !self.packets.is_empty() {
            self.deliver_some(self.packets.len());
        }
    }

    fn deliver_some(&mut self, count: usize) {
        for _ in 0..count.min(self.packets.len()) {
            let packet = self.packets.remove(0);
            if self.is_held_back(&packet) {
                self.held_back.push(packet);
            } else {
                self.handle(packet);
                self.settle();
            }
        }
    }

    fn is_held_back(&self, packet: &Packet) -> bool {
        let Packet::Reply { entry, .. } = packet else { return false };
        !self.replies_held_until[*entry].passed(self.now)
    }

    fn deliver(&mut self, index: usize) {
        if !self.packets.is_empty() {
            let packet = self.packets.remove(index % self.packets.len());
            self.handle(packet);
        }
    }

    fn drop_packet(&mut self, index: usize) {
        if !self.packets.is_empty() {
            self.packets.remove(index % self.packets.len());
        }
    }

    fn hold(&mut self, index: usize) {
        if !self.packets.is_empty() {
            let packet = self.packets.remove(index % self.packets.len());
            self.held_back.push(packet);
        }
    }

    fn release(&mut self, index: usize) {
        if !self.held_back.is_empty() {
            let packet = self.held_back.remove(index % self.held_back.len());
            self.handle(packet);
        }
    }

    fn answer(&mut self, entry: usize) {
        if self.is_running(entry) {
            let replies = self.entries[entry % ENTRIES].replies(true, self.now);
            self.packets.extend(replies);
        }
    }

    fn duplicate(&mut self, index: usize) {
        if !self.packets.is_empty() {
            let packet = self.packets[index % self.packets.len()].clone();
            self.handle(packet);
        }
    }

    /// Delivers a message; it is lost if the receiver is paused or the store is down.
    fn handle(&mut self, packet: Packet) {
        match packet {
            Packet::Report { agent, entry, report } => {
                if self.is_running(entry) {
                    self.entries[entry].apply_report(agent, &report, self.now);
                }
            }
            Packet::Reply { agent, entry, incarnation, sequence, reply } => {
                let agent = &mut self.agents[agent];
                if agent.paused_until.passed(self.now) {
                    agent.apply_reply(entry, incarnation, sequence, &reply, self.now);
                }
            }
            Packet::Call { entry, incarnation, call } => {
                if self.store_down_until.passed(self.now) {
                    let answer = self.store.call(&call, self.now);
                    self.packets.push(Packet::Answer { entry, incarnation, answer });
                }
            }
            Packet::Answer { entry, incarnation, answer } => {
                if self.is_running(entry) && self.entries[entry].incarnation == incarnation {
                    self.entries[entry].answer(answer, self.now);
                }
            }
        }
    }

    /// Returns the accepted jobs that have not ended, with the state at their owners.
    fn open_jobs(&self) -> Vec<(Name, String)> {
        let accepted = self.oracle.accepted.iter();
        accepted.filter_map(|job| Some((job.clone(), self.open_state(job)?))).collect()
    }

    fn open_state(&self, job: &Name) -> Option<String> {
        let records = self.entries.iter().filter(|entry| entry.is_valid(self.now));
        let record = records.filter_map(|entry| entry.table.read(job).ok()).next();
        match record {
            None => Some("unknown to every owner".to_owned()),
            Some(record) if record.state.is_final() => None,
            Some(record) => Some(format!("{:?}", record.state)),
        }
    }
}

fn record_response(oracle: &mut Oracle, request: &Request, job: &Name, state: &State) {
    if matches!(request, Request::Submit) {
        oracle.accepted.insert(job.clone());
    }
    match state {
        State::Done => oracle.report_done(job),
        State::Cancelled => {
            oracle.cancelled.insert(job.clone());
        }
        _ => {}
    }
}

fn id_of(job: u8) -> Name {
    id::derive("caller", &format!("key-{job}"), LEDGERS)
}

/// Returns the specification of a job; odd jobs may run only once.
fn spec(job: u8) -> Spec {
    Spec {
        caller: "caller".into(),
        kind: "render".into(),
        resources: NEED,
        declared_run_ms: 1_000,
        idempotent: job.is_multiple_of(2),
        priority: job % 3,
        payload: String::new(),
    }
}

//! Everything that one worker runs.

use super::Result;
use super::pace::Pace;
use super::plan::{self, Payload};
use super::work::{FULL_SHARE, Work};
use crate::facts::Board;
use event_listener::Event;
use foldhash::{HashMap, HashMapExt};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::standin::{Profile, Settings};
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_wire::control::{
    Acknowledge, Attach, Attached, Checkpoint, Checkpointed, Done, Fault, Key, List, Listed,
    Measured, Phase, Renew, Running, Sample, Start, Stop, Stopped, Task, Throttle, Usage,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The longest time between two looks at work in progress.
const SLICE: Duration = Duration::from_millis(5);
/// Most usage samples that are kept for the agent.
const MAX_SAMPLES: usize = 4_096;

/// One worker; clones share it.
#[derive(Clone)]
pub struct Floor {
    state: Rc<RefCell<State>>,
    changed: Rc<Event>,
}

struct State {
    settings: Settings,
    board: Board,
    pace: Pace,
    rng: SmallRng,
    boot: u64,
    incarnation: u64,
    version: u64,
    advanced: Time,
    sampled: Time,
    leaving_since: Option<Time>,
    tasks: BTreeMap<Key, Held>,
    requests: BTreeMap<Name, Work>,
    epochs: HashMap<u32, u64>,
    samples: VecDeque<(Time, Sample)>,
}

struct Held {
    task: Task,
    work: Work,
    fails: bool,
    deadline: Time,
    saved_us: f64,
    resumed_us: f64,
    checkpoints: u32,
}

impl Floor {
    /// A worker that runs nothing yet.
    pub fn new(settings: Settings, board: Board) -> Self {
        let now = Monotonic.now();
        let state = State {
            pace: Pace::new(&settings.disturbances, settings.capacity.millicores),
            rng: SmallRng::seed_from_u64(settings.seed),
            boot: boot(),
            settings,
            board,
            incarnation: 0,
            version: 1,
            advanced: now,
            sampled: now,
            leaving_since: None,
            tasks: BTreeMap::new(),
            requests: BTreeMap::new(),
            epochs: HashMap::new(),
            samples: VecDeque::new(),
        };
        Self { state: Rc::new(RefCell::new(state)), changed: Rc::default() }
    }

    /// Says that the worker is leaving from now on.
    pub fn leave(&self) {
        self.state.borrow_mut().leaving_since.get_or_insert(Monotonic.now());
    }

    /// Requests in progress.
    pub fn requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// Ends all that runs, as the end of the machine would.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.requests.clear();
        let held = std::mem::take(&mut state.tasks);
        let mut facts = state.board.facts();
        for held in held.values().filter(|held| !held.task.phase.is_final()) {
            facts.end(&held.task.key.job);
        }
    }

    /// Counts the requests in progress as cut off by a planned stop.
    pub fn cut_off(&self) {
        let state = self.state.borrow();
        let mut facts = state.board.facts();
        facts.violations.cut_off_by_stop += state.requests.len() as u64;
        for id in state.requests.keys() {
            facts.note(format!("request {id} cut off on {}", state.settings.worker));
        }
    }

    /// Makes an agent the only one of this worker.
    pub fn attach(&self, call: &Attach) -> Result<Attached> {
        let mut state = self.state.borrow_mut();
        if call.incarnation < state.incarnation {
            return Err(state.fenced(call.incarnation));
        }
        state.incarnation = call.incarnation;
        state.advance();
        Ok(Attached {
            boot: state.boot,
            now_us: Monotonic.now().as_micros(),
            capacity: state.settings.capacity,
            kinds: state.settings.kinds.clone(),
            held: state.listed(),
        })
    }

    /// Starts a task, unless it was started before.
    pub fn start(&self, call: &Start) -> Result<Done> {
        let added = self.state.borrow_mut().start(call)?;
        if added {
            self.changed.notify(usize::MAX);
            monoio::spawn(self.clone().follow(call.key.clone()));
        }
        Ok(Done {})
    }

    /// Extends leases; tasks that are unknown or have ended are passed over.
    pub fn renew(&self, call: &Renew) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        let now = Monotonic.now();
        for lease in &call.leases {
            let deadline = Time::from_micros(lease.deadline_us);
            let held = state.tasks.get_mut(&lease.key);
            if let Some(held) = held.filter(|held| !held.deadline.passed(now)) {
                held.extend(deadline);
            }
        }
        Ok(Done {})
    }

    /// Sets the processor share of a task.
    pub fn throttle(&self, call: &Throttle) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        state.advance();
        let held = state.held(&call.key)?;
        held.work.share_milli = call.share_milli.clamp(1, FULL_SHARE);
        Ok(Done {})
    }

    /// Takes a checkpoint of a running task; gives the last one of a task that has ended.
    pub fn checkpoint(&self, call: &Checkpoint) -> Result<Checkpointed> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        state.advance();
        let held = state.held(&call.key)?;
        if !held.task.phase.is_final() {
            held.save();
        }
        Ok(Checkpointed { checkpoint: held.task.checkpoint.clone() })
    }

    /// Stops a task; one that has ended stays as it is.
    pub fn stop(&self, call: &Stop) -> Result<Stopped> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        state.advance();
        let held = state.held(&call.key)?;
        if !held.task.phase.is_final() {
            if call.checkpoint {
                held.save();
            }
            let phase = if call.checkpoint { Phase::Evicted } else { Phase::Stopped };
            state.end(&call.key, phase, "stopped by its agent");
        }
        let task = &state.held(&call.key)?.task;
        let stopped = Stopped { phase: task.phase, checkpoint: task.checkpoint.clone() };
        drop(state);
        self.changed.notify(usize::MAX);
        Ok(stopped)
    }

    /// Forgets tasks that have ended.
    pub fn acknowledge(&self, call: &Acknowledge) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        for key in &call.keys {
            let ended = state.tasks.get(key).is_some_and(|held| held.task.phase.is_final());
            if ended {
                state.tasks.remove(key);
                state.version += 1;
            }
        }
        Ok(Done {})
    }

    /// Lists what the worker holds, once it has changed or the wait is over.
    pub async fn list(&self, call: &List) -> Result<Listed> {
        let until = Monotonic.now().after(Duration::from_millis(call.wait_ms));
        loop {
            let changed = self.changed.listen();
            let now = Monotonic.now();
            {
                let mut state = self.state.borrow_mut();
                state.check(call.incarnation)?;
                state.advance();
                if state.version != call.after || call.after == 0 || until.passed(now) {
                    return Ok(state.listed());
                }
            }
            // Whichever ends the wait, the list is looked at again.
            let _ = monoio::time::timeout(until.left(now), changed).await;
        }
    }

    /// Gives the usage samples that have become available.
    pub fn usage(&self, call: &Usage) -> Result<Measured> {
        let state = self.state.borrow();
        state.check(call.incarnation)?;
        let available = Monotonic.now().before(state.settings.report_lag);
        let samples = state.samples.iter();
        let wanted = samples
            .filter(|(at, _)| *at <= available && at.as_micros() > call.after_us)
            .map(|(_, sample)| sample.clone());
        Ok(Measured { samples: wanted.collect() })
    }

    /// Runs a request of the target to its end.
    ///
    /// # Errors
    ///
    /// Refuses the requests of an agent that is not attached.
    pub async fn run_request(&self, incarnation: Option<u64>, request: Request) -> Result<()> {
        let id = request.id.clone();
        self.state.borrow_mut().admit(incarnation, request)?;
        loop {
            let wait = {
                let mut state = self.state.borrow_mut();
                state.advance();
                let Some(work) = state.requests.get(&id) else { return Ok(()) };
                if work.is_done() {
                    state.requests.remove(&id);
                    return Ok(());
                }
                state.wait_request(&id)
            };
            monoio::time::sleep(wait).await;
        }
    }

    /// Follows a task until it has ended.
    async fn follow(self, key: Key) {
        loop {
            let wait = {
                let mut state = self.state.borrow_mut();
                state.advance();
                state.sample();
                let Some(held) = state.tasks.get(&key) else { return };
                if held.task.phase.is_final() {
                    break;
                }
                let now = state.advanced;
                if held.deadline.passed(now) {
                    state.board.facts().lapses += 1;
                    state.end(&key, Phase::Lapsed, "its lease passed without a renewal");
                    break;
                }
                if held.work.is_done() {
                    state.finish(&key);
                    break;
                }
                held.deadline.left(now).min(SLICE)
            };
            monoio::time::sleep(wait).await;
        }
        self.changed.notify(usize::MAX);
    }
}

/// A request as it reaches the target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Tells it from any other request in progress here.
    pub id: Name,
    /// The identifier that all tries of the request share, if it has one.
    pub request_id: Option<Name>,
    /// The kind of work.
    pub kind: Name,
    /// What the agent set aside for it.
    pub resources: Bundle,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Run time alone, if the request names it.
    pub run: Option<Duration>,
}

impl State {
    fn check(&self, incarnation: u64) -> Result<()> {
        if incarnation == self.incarnation && incarnation != 0 {
            return Ok(());
        }
        Err(self.fenced(incarnation))
    }

    fn fenced(&self, given: u64) -> Fault {
        Fault::Incarnation { given, attached: self.incarnation }
    }

    fn held(&mut self, key: &Key) -> Result<&mut Held> {
        let unknown = || Fault::UnknownTask { task: key.to_string() };
        self.tasks.get_mut(key).ok_or_else(unknown)
    }

    fn listed(&self) -> Listed {
        let running = |(id, work): (&Name, &Work)| Running {
            id: id.clone(),
            kind: work.kind.clone(),
            resources: work.reserved,
        };
        Listed {
            version: self.version,
            tasks: self.tasks.values().map(Held::report).collect(),
            requests: self.requests.iter().map(running).collect(),
        }
    }

    fn start(&mut self, call: &Start) -> Result<bool> {
        self.check(call.incarnation)?;
        let now = Monotonic.now();
        let ledger = call.key.ledger;
        let seen = self.epochs.entry(ledger).or_default();
        if call.epoch < *seen {
            return Err(Fault::Epoch { ledger, given: call.epoch, seen: *seen });
        }
        *seen = call.epoch;
        if self.tasks.contains_key(&call.key) {
            return Ok(false);
        }
        let deadline = Time::from_micros(call.deadline_us);
        if deadline.passed(now) {
            let late = now.since(deadline).as_micros();
            return Err(Fault::Lapsed { late_us: u64::try_from(late).unwrap_or(u64::MAX) });
        }
        self.advance();
        self.count_start(&call.resources, &call.key.to_string());
        let worker = self.settings.worker.clone();
        let job = &call.key.job;
        self.board.facts().start(&worker, job, call.idempotent, &call.checkpoint);
        let held = self.plan(call, deadline);
        self.tasks.insert(call.key.clone(), held);
        self.version += 1;
        Ok(true)
    }

    fn plan(&mut self, call: &Start, deadline: Time) -> Held {
        let profile = self.profile(&call.kind);
        let payload = Payload::parse(&call.payload);
        let drawn = plan::draw(&profile, &mut self.rng);
        let named = payload.run_ms.map_or(drawn, |run_ms| run_ms as f64 * 1_000.0);
        let (done_us, total_us) = plan::resume(&call.checkpoint).unwrap_or((0.0, named));
        let usage = Bundle {
            memory_mib: payload.memory_mib.unwrap_or(profile.usage.memory_mib),
            millicores: payload.millicores.unwrap_or(profile.usage.millicores),
            ..call.resources
        };
        let work = Work {
            kind: call.kind.clone(),
            number: self.pace.number(&call.kind),
            reserved: call.resources,
            usage,
            total_us: if self.settings.fails_tasks { 0.0 } else { total_us },
            done_us,
            share_milli: FULL_SHARE,
        };
        let task = Task {
            key: call.key.clone(),
            epoch: call.epoch,
            kind: call.kind.clone(),
            resources: call.resources,
            phase: Phase::Running,
            checkpoint: call.checkpoint.clone(),
            reason: String::new(),
            run_ms: 0,
            unsaved_ms: 0,
            deadline_us: call.deadline_us,
        };
        let fails = payload.fails || self.settings.fails_tasks;
        let saved_us = done_us;
        Held { task, work, fails, deadline, saved_us, resumed_us: done_us, checkpoints: 0 }
    }

    fn admit(&mut self, incarnation: Option<u64>, request: Request) -> Result<()> {
        if let Some(incarnation) = incarnation {
            self.check(incarnation)?;
        }
        self.advance();
        self.count_start(&request.resources, &request.id);
        let worker = self.settings.worker.clone();
        self.board.facts().request(&worker, request.request_id.as_ref(), request.idempotent);
        let profile = self.profile(&request.kind);
        let drawn = plan::draw(&profile, &mut self.rng);
        let work = Work {
            number: self.pace.number(&request.kind),
            kind: request.kind,
            reserved: request.resources,
            usage: profile.usage,
            total_us: request.run.map_or(drawn, |run| run.as_micros() as f64),
            done_us: 0.0,
            share_milli: FULL_SHARE,
        };
        self.requests.insert(request.id, work);
        Ok(())
    }

    /// Counts the promises that a start with `need` breaks.
    fn count_start(&self, need: &Bundle, what: &str) {
        let worker = &self.settings.worker;
        let used = self.works().fold(Bundle::default(), |sum, work| sum.plus(&work.reserved));
        let mut facts = self.board.facts();
        if !self.settings.capacity.holds(&used.plus(need)) {
            facts.violations.capacity_exceeded += 1;
            facts.note(format!("{what} on {worker} needs {need:?} beside {used:?}"));
        }
        let grace = self.settings.leaving_grace;
        let late = self.leaving_since.is_some_and(|since| since.after(grace) < Monotonic.now());
        if late {
            facts.violations.started_on_leaving += 1;
            facts.note(format!("{what} started on {worker}, which is leaving"));
        }
    }

    fn works(&self) -> impl Iterator<Item = &Work> {
        let running = self.tasks.values().filter(|held| !held.task.phase.is_final());
        running.map(|held| &held.work).chain(self.requests.values())
    }

    fn profile(&self, kind: &Name) -> Profile {
        let found = self.settings.profiles.iter().find(|profile| profile.kind == *kind);
        found.cloned().unwrap_or_default()
    }

    /// Adds the work done since the last call at the speeds that held meanwhile.
    fn advance(&mut self) {
        let now = Monotonic.now();
        let passed_us = now.since(self.advanced).as_micros() as f64;
        self.advanced = now;
        let works: Vec<&Work> = self.works().collect();
        let slowdowns = self.pace.slowdowns(&works);
        let running = self.tasks.values_mut().filter(|held| !held.task.phase.is_final());
        let works = running.map(|held| &mut held.work).chain(self.requests.values_mut());
        for (work, slowdown) in works.zip(slowdowns) {
            work.done_us += passed_us * work.share() / slowdown;
        }
    }

    /// How long a request sleeps before it is looked at again.
    fn wait_request(&self, id: &Name) -> Duration {
        let works: Vec<&Work> = self.works().collect();
        let Some(work) = self.requests.get(id) else { return Duration::ZERO };
        let Some(index) = works.iter().position(|other| std::ptr::eq(*other, work)) else {
            return Duration::ZERO;
        };
        let left_us = (work.total_us - work.done_us) * self.pace.slowdowns(&works)[index];
        Duration::from_micros(left_us.max(0.0) as u64).min(SLICE)
    }

    fn finish(&mut self, key: &Key) {
        let Some(held) = self.tasks.get(key) else { return };
        if held.fails {
            return self.end(key, Phase::Failed, "the task failed");
        }
        self.board.facts().complete(&key.job);
        self.end(key, Phase::Done, "");
    }

    fn end(&mut self, key: &Key, phase: Phase, reason: &str) {
        let Some(held) = self.tasks.get_mut(key) else { return };
        held.task.phase = phase;
        held.task.reason = reason.to_owned();
        self.version += 1;
        let mut facts = self.board.facts();
        facts.end(&key.job);
        if phase == Phase::Evicted {
            facts.evictions += 1;
        }
    }

    /// Takes usage samples when they are due.
    fn sample(&mut self) {
        let now = self.advanced;
        if now < self.sampled.after(self.settings.usage_period) {
            return;
        }
        self.sampled = now;
        let used: u64 = self.works().map(|work| u64::from(work.usage.memory_mib)).sum();
        if used > u64::from(self.settings.capacity.memory_mib) {
            let mut facts = self.board.facts();
            facts.violations.memory_exhausted += 1;
            facts.note(format!("{} uses {used} MiB", self.settings.worker));
        }
        let running = self.tasks.values().filter(|held| !held.task.phase.is_final());
        let keys = running.map(|held| Some(held.task.key.clone()));
        let keys = keys.chain(self.requests.values().map(|_| None));
        let works: Vec<&Work> = self.works().collect();
        let slowdowns = self.pace.slowdowns(&works);
        let sample = |((work, slowdown), key): ((&&Work, f64), Option<Key>)| Sample {
            at_us: now.as_micros(),
            key,
            kind: work.kind.clone(),
            usage: work.usage,
            slowdown_milli: (slowdown * 1_000.0).round() as u32,
        };
        let samples: Vec<Sample> = works.iter().zip(slowdowns).zip(keys).map(sample).collect();
        self.samples.extend(samples.into_iter().map(|sample| (now, sample)));
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }
}

impl Held {
    fn extend(&mut self, deadline: Time) {
        self.deadline = self.deadline.max(deadline);
        self.task.deadline_us = self.deadline.as_micros();
    }

    fn save(&mut self) {
        self.checkpoints += 1;
        self.saved_us = self.work.done_us;
        let work = &self.work;
        self.task.checkpoint =
            plan::checkpoint(&self.task.key, self.checkpoints, work.done_us, work.total_us);
    }

    fn report(&self) -> Task {
        Task {
            run_ms: ((self.work.done_us - self.resumed_us) / 1_000.0) as u64,
            unsaved_ms: ((self.work.done_us - self.saved_us) / 1_000.0) as u64,
            ..self.task.clone()
        }
    }
}

/// A number that differs for each restart of a worker.
fn boot() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_nanos()).unwrap_or(u64::MAX))
}

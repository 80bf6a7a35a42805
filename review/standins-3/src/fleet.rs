//! The workers: one server each, with leases, fences, gangs and the two lists.
use crate::http::{call, Answer, Request, Server};
use crate::json::{quote, Json};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A step as it was handed in.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: usize,
    pub cpu: i64,
    pub memory: i64,
    pub gang: bool,
    pub long_running: bool,
    /// How long a task works, or how long it takes until it is at work.
    pub work: Duration,
}

/// One run of a task at a worker, for the check.
#[derive(Clone, Debug)]
pub struct Record {
    pub task: String,
    pub run: u32,
    pub worker: usize,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: String,
}

struct Run {
    run: u32,
    /// When the start was carried out.
    started: Instant,
    /// When the work began; a gang begins once all its members are there.
    begun: Option<Instant>,
    step: Step,
    stops_at: Option<Instant>,
    record: usize,
}

struct Life {
    id: String,
    born: u64,
    since: Instant,
    fence: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    over: HashMap<String, u32>,
    ends: Vec<(u64, String, u32, String)>,
    next_end: u64,
    deadline_ms: i64,
    sequence: u64,
    draining: bool,
}

pub struct Worker {
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: i64,
    pub memory: i64,
    life: Option<Life>,
    server: Option<Server>,
    lives: u32,
    /// Whether the answer to a start is lost.
    pub silent_starts: bool,
}

pub struct State {
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, Vec<Step>>,
    pub records: Vec<Record>,
}

/// Bounds of the deployment, as its settings state them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub max_hold_ms: i64,
    pub stop_ms: u64,
    pub gang_ms: u64,
}

pub struct Fleet {
    pub state: Mutex<State>,
    changed: Condvar,
    begun: Instant,
    log: Mutex<File>,
    service: String,
    bounds: Bounds,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Life {
    fn clock_ms(&self) -> i64 {
        1_000 + self.since.elapsed().as_millis() as i64
    }
    fn end(&mut self, task: &str, how: &str, records: &mut [Record], now_ms: u64) -> Option<u32> {
        let run = self.runs.remove(task)?;
        let over = self.over.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(run.run);
        self.next_end += 1;
        self.ends.push((self.next_end, task.to_owned(), run.run, how.to_owned()));
        let record = &mut records[run.record];
        record.end_ms = Some(now_ms);
        record.how = how.to_owned();
        Some(run.run)
    }
}

/// The step of a task `ID.K.STEP.INDEX`, as ID and number, and what all tasks of its gang share.
fn parts(task: &str) -> Option<(String, usize, String)> {
    let mut parts = task.split('.');
    let (id, k, step) = (parts.next()?, parts.next()?, parts.next()?);
    Some((id.to_owned(), step.parse().ok()?, format!("{id}.{k}.{step}")))
}

impl Fleet {
    pub fn new(log: File, service: &str, bounds: Bounds) -> Arc<Self> {
        let state = State { workers: Vec::new(), jobs: HashMap::new(), records: Vec::new() };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            begun: Instant::now(),
            log: Mutex::new(log),
            service: service.to_owned(),
            bounds,
        })
    }
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
    pub fn note(&self, text: &str) {
        let _ = writeln!(self.log.lock().unwrap(), "{:>8} ms  {text}", self.now_ms());
    }
    pub fn add(self: &Arc<Self>, address: SocketAddr, control: SocketAddr, zone: &str, labels: Vec<String>, cpu: i64, memory: i64) -> usize {
        let mut state = self.state.lock().unwrap();
        state.workers.push(Worker {
            address,
            control,
            zone: zone.to_owned(),
            labels,
            cpu,
            memory,
            life: None,
            server: None,
            lives: 0,
            silent_starts: false,
        });
        state.workers.len() - 1
    }
    /// Starts the threads that let runs end and that send heartbeats.
    pub fn run(self: &Arc<Self>) {
        let fleet = self.clone();
        thread::spawn(move || loop {
            fleet.advance();
            thread::sleep(Duration::from_millis(3));
        });
        let count = self.state.lock().unwrap().workers.len();
        for worker in 0..count {
            let fleet = self.clone();
            thread::spawn(move || loop {
                let acknowledged = fleet.beat(worker);
                thread::sleep(Duration::from_millis(if acknowledged { 1_000 } else { 150 }));
            });
        }
    }
    /// Starts the worker's next life.
    pub fn up(self: &Arc<Self>, worker: usize) {
        let address = self.state.lock().unwrap().workers[worker].address;
        let fleet = self.clone();
        let server = Server::start(address, Arc::new(move |request| fleet.serve(worker, request))).expect("worker address");
        let mut state = self.state.lock().unwrap();
        let it = &mut state.workers[worker];
        it.lives += 1;
        let id = format!("i-{worker:02}{:04x}", it.lives);
        it.life = Some(Life {
            id: id.clone(),
            born: wall_ms(),
            since: Instant::now(),
            fence: 0,
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ends: Vec::new(),
            next_end: 0,
            deadline_ms: 0,
            sequence: 0,
            draining: false,
        });
        it.server = Some(server);
        drop(state);
        self.note(&format!("worker {worker} starts as {id}"));
    }
    /// Ends the worker's life at once, with all that it runs and knows.
    pub fn crash(&self, worker: usize) {
        let now = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let State { workers, records, .. } = &mut *state;
        let it = &mut workers[worker];
        if let Some(server) = it.server.take() {
            server.close();
        }
        let mut lost = Vec::new();
        if let Some(life) = it.life.take() {
            for (task, run) in life.runs {
                records[run.record].end_ms = Some(now);
                records[run.record].how = "crash".to_owned();
                lost.push(format!("{task} run {}", run.run));
            }
        }
        drop(state);
        self.changed.notify_all();
        self.note(&format!("worker {worker} crashes under [{}]", lost.join(", ")));
    }
    /// The worker that runs a task.
    pub fn worker_of(&self, task: &str) -> Option<usize> {
        let state = self.state.lock().unwrap();
        state.workers.iter().position(|worker| worker.life.as_ref().is_some_and(|life| life.runs.contains_key(task)))
    }
    fn beat(&self, worker: usize) -> bool {
        let (control, path, body) = {
            let mut state = self.state.lock().unwrap();
            let it = &mut state.workers[worker];
            let Some(life) = &mut it.life else { return false };
            life.sequence += 1;
            let labels: Vec<String> = it.labels.iter().map(|label| quote(label)).collect();
            let body = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"task_memory_mb\":{},\"gpus\":0}},\"labels\":[{}],\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
                quote(&self.service),
                it.address,
                quote(&it.zone),
                if life.draining { "draining" } else { "ready" },
                it.cpu,
                it.memory,
                labels.join(","),
                life.clock_ms(),
                life.sequence,
                life.born
            );
            (it.control, format!("/shallotflow/instances/{}/heartbeat", life.id), body)
        };
        let answer = call(control, "POST", &path, "control", &body, Duration::from_millis(1_000));
        answer.is_some_and(|(status, _)| status / 100 == 2)
    }
    /// Lets leases end, stops take effect, gangs begin and break, and work complete.
    fn advance(&self) {
        let now = Instant::now();
        let now_ms = self.now_ms();
        let mut notes = Vec::new();
        let mut state = self.state.lock().unwrap();
        let State { workers, records, .. } = &mut *state;
        // The members that are there, by gang and run.
        let mut present: HashMap<(String, u32), usize> = HashMap::new();
        for life in workers.iter().filter_map(|worker| worker.life.as_ref()) {
            for (task, run) in life.runs.iter().filter(|(_, run)| run.step.gang) {
                if let Some((_, _, gang)) = parts(task) {
                    *present.entry((gang, run.run)).or_insert(0) += 1;
                }
            }
        }
        let mut done: Vec<(String, u32)> = Vec::new();
        for (number, worker) in workers.iter_mut().enumerate() {
            let Some(life) = &mut worker.life else { continue };
            let lapsed = life.clock_ms() >= life.deadline_ms;
            let tasks: Vec<String> = life.runs.keys().cloned().collect();
            for task in tasks {
                let Some(run) = life.runs.get_mut(&task) else { continue };
                let gang = parts(&task).map(|(_, _, gang)| (gang, run.run));
                let members = gang.as_ref().and_then(|gang| present.get(gang)).copied().unwrap_or(0);
                if run.step.gang && run.begun.is_none() && members == run.step.count {
                    run.begun = Some(now);
                }
                let how = if run.stops_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if lapsed {
                    "lapsed"
                } else if run.step.gang && run.begun.is_some() && members < run.step.count {
                    let finished = gang.as_ref().is_some_and(|gang| done.contains(gang));
                    if finished { "done" } else { "broken" }
                } else if run.step.gang && run.begun.is_none() && run.started.elapsed() > Duration::from_millis(self.bounds.gang_ms) {
                    "alone"
                } else if !run.step.long_running && run.begun.is_some_and(|begun| begun.elapsed() >= run.step.work) {
                    if let Some(gang) = gang.filter(|_| run.step.gang) {
                        done.push(gang);
                    }
                    "done"
                } else {
                    continue;
                };
                if let Some(run) = life.end(&task, how, records, now_ms) {
                    notes.push(format!("worker {number}: {task} run {run} ends {how}"));
                }
            }
        }
        drop(state);
        if !notes.is_empty() {
            self.changed.notify_all();
        }
        for note in notes {
            self.note(&note);
        }
    }
    fn serve(&self, worker: usize, request: &Request) -> Answer {
        let body = Json::parse(&request.body)?;
        let mut state = self.state.lock().unwrap();
        let State { workers, records, jobs } = &mut *state;
        let capacity = (workers[worker].cpu, workers[worker].memory);
        let lost = workers[worker].silent_starts;
        let life = workers[worker].life.as_mut()?;
        if request.header("x-shallotflow-expect-instance").is_some_and(|id| id != life.id) {
            return Some((421, format!("{{\"clock_ms\":{}}}", life.clock_ms())));
        }
        let refuse = |life: &Life, reason: &str| Some((409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", life.clock_ms())));
        let fence = body.number("fencing_token").unwrap_or(0) as u64;
        if fence < life.fence {
            return refuse(life, "fence");
        }
        life.fence = fence;
        let id = life.id.clone();
        match request.path.as_str() {
            "/shallotflow/run-start" => {
                let (task, run) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
                let deadline = body.number("deadline_ms").unwrap_or(0).min(life.clock_ms() + self.bounds.max_hold_ms);
                let (job, number, _) = parts(&task)?;
                if deadline <= life.clock_ms() {
                    return refuse(life, "late");
                }
                life.deadline_ms = life.deadline_ms.max(deadline);
                if life.runs.get(&task).is_some_and(|known| known.run == run) {
                    return Some((200, format!("{{\"clock_ms\":{}}}", life.clock_ms())));
                }
                let known = life.runs.get(&task).map_or(0, |known| known.run);
                if run <= known.max(life.over.get(&task).copied().unwrap_or(0)) {
                    return refuse(life, "old");
                }
                let step = jobs.get(&job).and_then(|steps| steps.get(number)).cloned();
                let unasked = step.is_none();
                let step = step.unwrap_or_default();
                let used = life.runs.values().fold((0, 0), |sum, run| (sum.0 + run.step.cpu, sum.1 + run.step.memory));
                if known > 0 || used.0 + step.cpu > capacity.0 || used.1 + step.memory > capacity.1 {
                    return refuse(life, "room");
                }
                let record = records.len();
                let start_ms = self.now_ms();
                records.push(Record { task: task.clone(), run, worker, start_ms, end_ms: None, how: String::new() });
                let now = Instant::now();
                let begun = (!step.gang).then_some(now);
                life.runs.insert(task.clone(), Run { run, started: now, begun, step, stops_at: None, record });
                let clock = life.clock_ms();
                drop(state);
                let what = if unasked { " (nobody sent it)" } else { "" };
                self.note(&format!("worker {worker} {id}: {task} run {run} starts, fence {fence}{what}"));
                if lost {
                    return None;
                }
                Some((200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/shallotflow/run-stop" => {
                let (task, run) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
                let over = life.over.entry(task.clone()).or_insert(0);
                *over = (*over).max(run);
                let delay = Duration::from_millis(self.bounds.stop_ms / 2);
                if let Some(known) = life.runs.get_mut(&task).filter(|known| known.run <= run) {
                    known.stops_at.get_or_insert(Instant::now() + delay);
                }
                let clock = life.clock_ms();
                drop(state);
                self.note(&format!("worker {worker} {id}: stop of {task} run {run}, fence {fence}"));
                Some((200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/shallotflow/hold" => {
                let seen = body.number("last_seen").unwrap_or(0) as u64;
                life.ends.retain(|(number, ..)| *number > seen);
                if let Some(deadline) = body.number("deadline_ms") {
                    let deadline = deadline.min(life.clock_ms() + self.bounds.max_hold_ms);
                    life.deadline_ms = life.deadline_ms.max(deadline);
                }
                let wait = body.number("wait_ms").unwrap_or(0).min(2_000) as u64;
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let life = state.workers[worker].life.as_ref().filter(|life| life.id == id)?;
                    let now = Instant::now();
                    if !life.ends.is_empty() || now >= until {
                        return Some((200, list(life)));
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            "/shallotflow/pace" => Some((200, format!("{{\"clock_ms\":{}}}", life.clock_ms()))),
            _ => Some((400, "{}".to_owned())),
        }
    }
}

fn list(life: &Life) -> String {
    let running: Vec<String> = life
        .runs
        .iter()
        .map(|(task, run)| {
            let worked = run.begun.map_or(Duration::ZERO, |begun| begun.elapsed());
            let percent = if run.step.long_running {
                if run.begun.is_some() && worked >= run.step.work { 100 } else { 0 }
            } else {
                (worked.as_millis() * 100 / run.step.work.as_millis().max(1)).min(99)
            };
            format!("[{},{},\"\",{percent},0]", quote(task), run.run)
        })
        .collect();
    let ends: Vec<String> = life
        .ends
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!("[{number},{},{run},{},\"\"]", quote(task), quote(how)))
        .collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.join(","),
        ends.join(",")
    )
}

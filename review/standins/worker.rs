//! A worker, as PROTOCOL.md describes it. A task takes the milliseconds that its specification names.

use crate::http::{self, Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::{Record, What};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long after its start a worker reports for the first time.
const FIRST_REPORT: Duration = Duration::from_millis(15);
/// How many channels a worker takes.
const CHANNELS: usize = 64;
/// How long a stop takes; at most `stop_ms`, which is 900 ms.
const STOP_MS: u64 = 850;

#[derive(Clone)]
pub struct Place {
    pub app: SocketAddr,
    /// Where the worker sends its status reports.
    pub control: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub max_hold_ms: u64,
}

#[derive(Default)]
struct State {
    fence: i64,
    lease_end: u64,
    /// Whether the end of the lease has been recorded.
    lapsed: bool,
    /// When each run will be done, on the worker's clock.
    running: BTreeMap<(String, u32), u64>,
    /// When each run that is being stopped will be gone, on the worker's clock.
    stopping: BTreeMap<(String, u32), u64>,
    /// The highest run of each task that was stopped or has ended.
    over: HashMap<String, u32>,
    finished: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
}

pub struct Worker {
    pub id: String,
    born_ms: u64,
    start: Instant,
    place: Place,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    gone: AtomicBool,
    server: Mutex<Option<Server>>,
}

impl Worker {
    /// Starts one life of a worker.
    pub fn start(id: &str, place: Place, record: Arc<Record>) -> std::io::Result<Arc<Worker>> {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            born_ms: born.as_millis() as u64,
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
            gone: AtomicBool::new(false),
            server: Mutex::new(None),
            place,
        });
        let this = worker.clone();
        let server = Server::start(
            worker.place.app,
            CHANNELS,
            Arc::new(move |request| this.answer(&request)),
        )?;
        *worker.server.lock().unwrap() = Some(server);
        worker.record.say(&format!("worker {id} born {}", worker.born_ms));
        let this = worker.clone();
        std::thread::spawn(move || {
            while !this.gone.load(Ordering::SeqCst) {
                this.tick();
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        let this = worker.clone();
        std::thread::spawn(move || {
            let mut sequence = 0;
            std::thread::sleep(FIRST_REPORT);
            while !this.gone.load(Ordering::SeqCst) {
                sequence += 1;
                this.report(sequence);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    /// Ends the life as a crash does.
    pub fn crash(&self) {
        self.gone.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        let mut state = self.state.lock().unwrap();
        for ((task, run), _) in std::mem::take(&mut state.running) {
            self.record.see(&self.id, &task, run, What::Ended("crashed"));
        }
        self.record.say(&format!("worker {} crashed", self.id));
    }

    /// Sends a status report as another writer may: it names a service that does not exist.
    pub fn report_foreign(&self) {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let body = format!(
            "{{\"service\":\"nobody\",\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":64000,\
             \"task_memory_mb\":256000,\"gpus\":0}},\"labels\":[\"a\",\"r1-9\"],\"clock_ms\":1,\
             \"sequence\":1,\"born\":{}}}",
            self.place.app,
            quote(&self.place.zone),
            now.as_millis()
        );
        let path = "/shallotflow/instances/i-0bad/heartbeat";
        let limit = Duration::from_secs(1);
        let answer = http::call(self.place.control, "POST", path, "worker", &body, limit);
        let status = answer.map_or(0, |(status, _)| status);
        self.record.say(&format!("another writer's report at the agent of {}: {status}", self.id));
    }

    fn clock(&self) -> u64 {
        5_000 + self.start.elapsed().as_millis() as u64
    }

    fn report(&self, sequence: u64) {
        let Place { app, control, service, zone, rack, .. } = &self.place;
        let body = format!(
            "{{\"service\":{},\"address\":\"{app}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":64000,\
             \"task_memory_mb\":256000,\"gpus\":0}},\"labels\":[\"a\",{}],\"clock_ms\":{},\
             \"sequence\":{sequence},\"born\":{}}}",
            quote(service),
            quote(zone),
            quote(rack),
            self.clock(),
            self.born_ms
        );
        let path = format!("/shallotflow/instances/{}/heartbeat", self.id);
        let _ = http::call(*control, "POST", &path, "worker", &body, Duration::from_secs(1));
    }

    fn end(&self, state: &mut State, task: &str, run: u32, how: &'static str) {
        state.running.remove(&(task.to_owned(), run));
        state.stopping.remove(&(task.to_owned(), run));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        state.last_end += 1;
        let number = state.last_end;
        state.finished.push((number, task.to_owned(), run, how));
        self.record.see(&self.id, task, run, What::Ended(how));
        self.changed.notify_all();
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if self.gone.load(Ordering::SeqCst) {
            return;
        }
        let clock = self.clock();
        let over: Vec<(String, u32)> = state
            .running
            .iter()
            .filter(|(_, end)| **end <= clock)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in over {
            self.end(&mut state, &task, run, "done");
        }
        let stopped: Vec<(String, u32)> = state
            .stopping
            .iter()
            .filter(|(_, end)| **end <= clock)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in stopped {
            self.end(&mut state, &task, run, "stopped");
        }
        if state.lease_end <= clock {
            if !std::mem::replace(&mut state.lapsed, true) {
                self.record.see(&self.id, "", 0, What::LeaseLapsed);
            }
            let lapsed: Vec<(String, u32)> = state.running.keys().cloned().collect();
            for (task, run) in lapsed {
                self.end(&mut state, &task, run, "lapsed");
            }
        }
    }

    fn refused(&self, reason: &str) -> Answer {
        Some((409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock())))
    }

    fn accepted(&self) -> Answer {
        Some((200, format!("{{\"clock_ms\":{}}}", self.clock())))
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        let expected = request.headers.get("x-shallotflow-expect-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let fence = body.get("fencing_token").integer();
        if fence < state.fence {
            return self.refused("fence");
        }
        state.fence = fence;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").integer() as u32);
        let clock = self.clock();
        if let Some(deadline) = body.get("deadline_ms").number() {
            if request.path == "/shallotflow/run-start" && deadline as u64 <= clock {
                return self.refused("late");
            }
            let deadline = (deadline as u64).min(clock + self.place.max_hold_ms);
            state.lease_end = state.lease_end.max(deadline);
            state.lapsed &= deadline <= clock;
        }
        match request.path.as_str() {
            "/shallotflow/run-start" => {
                if state.running.contains_key(&(task.clone(), run)) {
                    return self.accepted();
                }
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    return self.refused("old");
                }
                let text = body.get("specification").text();
                let work = text.rsplit(' ').next().and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
                state.running.insert((task.clone(), run), clock + work);
                self.record.see(&self.id, &task, run, What::Started);
                self.accepted()
            }
            "/shallotflow/run-stop" => {
                if state.running.contains_key(&(task.clone(), run)) {
                    state.stopping.entry((task, run)).or_insert(clock + STOP_MS);
                } else {
                    let over = state.over.entry(task).or_default();
                    *over = (*over).max(run);
                }
                self.accepted()
            }
            "/shallotflow/pace" => self.accepted(),
            "/shallotflow/hold" => {
                let last_seen = body.get("last_seen").integer() as u64;
                let seen: Vec<_> =
                    state.finished.iter().filter(|end| end.0 <= last_seen).cloned().collect();
                for (_, task, run, how) in seen {
                    self.record.see(&self.id, &task, run, What::Noted(how));
                }
                state.finished.retain(|end| end.0 > last_seen);
                let wait = body.get("wait_ms").integer().clamp(0, 2_000) as u64;
                let until = Instant::now() + Duration::from_millis(wait);
                while state.finished.is_empty() && Instant::now() < until {
                    let rest = until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, rest).unwrap().0;
                }
                if self.gone.load(Ordering::SeqCst) {
                    return None;
                }
                let clock = self.clock();
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|((task, run), end)| {
                        // The length of a run is not kept; the progress is counted over ten seconds.
                        let percent = 99 - (end.saturating_sub(clock) / 100).min(98);
                        format!("[{},{run},\"\",{percent},0]", quote(task))
                    })
                    .collect();
                let finished: Vec<String> = state
                    .finished
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| {
                        format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
                    })
                    .collect();
                let body = format!(
                    "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                    self.born_ms,
                    running.join(","),
                    finished.join(",")
                );
                Some((200, body))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }
}

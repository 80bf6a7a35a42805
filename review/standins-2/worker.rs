//! A worker of the platform. Its tasks take the time that the specification names (`work_ms=N`).

use crate::http::{self, Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest lease, as in the settings of the programs.
const MAX_HOLD_MS: u64 = 6_000;
/// Time that a stop takes; the settings allow `stop_ms` = 900.
const STOP_TIME: Duration = Duration::from_millis(800);

/// One run, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from: f64,
    pub to: Option<f64>,
    pub end: &'static str,
}

/// All runs at all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Active {
    begun: Instant,
    work: Duration,
    /// When a stop that was ordered is carried out.
    stops: Option<Instant>,
    history: usize,
}

struct State {
    started: Instant,
    born: u64,
    fence: i64,
    deadline_ms: u64,
    running: HashMap<(String, u64), Active>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or ended here.
    over: HashMap<String, u64>,
    up: bool,
    sequence: u64,
    /// Number of crashes before.
    lifetime: u64,
}

impl State {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self {
            started: Instant::now(),
            born,
            fence: 0,
            deadline_ms: 0,
            running: HashMap::new(),
            finished: Vec::new(),
            last_end: 0,
            over: HashMap::new(),
            up: true,
            sequence: 0,
            lifetime: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let most = self.clock_ms() + MAX_HOLD_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(most));
    }
}

#[derive(Clone)]
pub struct Worker {
    id: String,
    service: String,
    app: SocketAddr,
    control: SocketAddr,
    zone: String,
    labels: Vec<String>,
    shared: Arc<(Mutex<State>, Condvar)>,
    server: Arc<Mutex<Option<Server>>>,
    runs: Runs,
    record: Record,
}

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        app: SocketAddr,
        control: SocketAddr,
        zone: &str,
        labels: &[&str],
        runs: &Runs,
        record: &Record,
    ) -> Result<Self> {
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            app,
            control,
            zone: zone.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            shared: Arc::new((Mutex::new(State::new()), Condvar::new())),
            server: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
        };
        worker.open()?;
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        let beating = worker.clone();
        std::thread::spawn(move || {
            loop {
                // A new lifetime sends its first report itself.
                let registered = beating.shared.0.lock().unwrap().sequence > 0;
                if registered || !beating.has_restarted() {
                    beating.beat();
                }
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
        Ok(worker)
    }

    /// Opens the port.
    pub fn open(&self) -> Result<()> {
        let worker = self.clone();
        let server = Server::start(self.app, Arc::new(move |request| worker.answer(&request)))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// Closes the port and all connections; the runs go on.
    pub fn close(&self) {
        self.server.lock().unwrap().take();
    }

    /// Crashes: all runs are gone, and nothing listens.
    pub fn crash(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.up = false;
        let active: Vec<_> = state.running.drain().collect();
        state.finished.clear();
        drop(state);
        for ((task, run), active) in active {
            self.note_end(active.history, &task, run, "lost with its worker");
        }
        self.record.note(&format!("{} crashes", self.id));
        self.close();
    }

    /// Starts again after a crash, under the same identifier; its first status report follows after `pause`.
    pub fn restart(&self, pause: Duration) -> Result<()> {
        {
            let mut state = self.shared.0.lock().unwrap();
            *state = State { lifetime: state.lifetime + 1, ..State::new() };
        }
        self.record.note(&format!("{} starts again", self.id));
        self.open()?;
        std::thread::sleep(pause);
        self.beat();
        Ok(())
    }

    fn has_restarted(&self) -> bool {
        self.shared.0.lock().unwrap().lifetime > 0
    }

    fn beat(&self) {
        let body = {
            let mut state = self.shared.0.lock().unwrap();
            if !state.up {
                return;
            }
            state.sequence += 1;
            let labels: Vec<String> = self.labels.iter().map(|label| quote(label)).collect();
            format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":16000,\
                 \"task_memory_mb\":32768,\"gpus\":0}},\"labels\":[{}],\"clock_ms\":{},\
                 \"sequence\":{},\"born\":{}}}",
                quote(&self.service),
                self.app,
                quote(&self.zone),
                labels.join(","),
                state.clock_ms(),
                state.sequence,
                state.born
            )
        };
        let path = format!("/shallotflow/instances/{}/heartbeat", self.id);
        let limit = Duration::from_secs(1);
        let _ = http::call(self.control, "POST", &path, "control", &body, limit);
    }

    fn note_end(&self, history: usize, task: &str, run: u64, end: &'static str) {
        let to = self.record.seconds();
        {
            let mut runs = self.runs.lock().unwrap();
            runs[history].to = Some(to);
            runs[history].end = end;
        }
        self.record.note(&format!("{} ends {task} run {run}: {end}", self.id));
    }

    fn tick(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let lapsed = state.clock_ms() >= state.deadline_ms;
        let due = |active: &Active| {
            if active.begun + active.work <= now {
                Some("done")
            } else if active.stops.is_some_and(|stops| stops <= now) {
                Some("stopped")
            } else {
                lapsed.then_some("lapsed")
            }
        };
        let ended: Vec<_> = state
            .running
            .iter()
            .filter_map(|(key, active)| Some((key.clone(), due(active)?, active.history)))
            .collect();
        for ((task, run), end, history) in ended {
            state.running.remove(&(task.clone(), run));
            state.last_end += 1;
            let number = state.last_end;
            state.finished.push((number, task.clone(), run, end));
            let over = state.over.entry(task.clone()).or_default();
            *over = (*over).max(run);
            self.note_end(history, &task, run, end);
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let expected = request.headers.get("x-shallotflow-expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.shared.0.lock().unwrap();
        if !state.up {
            return None;
        }
        let fence = body.integer("fencing_token");
        let refusal = |state: &State, reason: &str| {
            Some((409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", state.clock_ms())))
        };
        if fence < state.fence {
            return refusal(&state, "fence");
        }
        state.fence = fence;
        let (task, run) = (body.text("task"), body.integer("run") as u64);
        match request.path.as_str() {
            "/shallotflow/run-start" => {
                let deadline_ms = body.integer("deadline_ms") as u64;
                if state.running.contains_key(&(task.clone(), run)) {
                    return Some((200, format!("{{\"clock_ms\":{}}}", state.clock_ms())));
                }
                let over = state.over.get(&task).is_some_and(|over| run <= *over);
                if deadline_ms <= state.clock_ms() {
                    return refusal(&state, "late");
                }
                state.extend(deadline_ms);
                if over {
                    return refusal(&state, "old");
                }
                let text = body.text("specification");
                let work_ms = text.split("work_ms=").nth(1).and_then(|rest| {
                    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
                });
                let history = {
                    let mut runs = self.runs.lock().unwrap();
                    runs.push(Run {
                        task: task.clone(),
                        run,
                        worker: self.id.clone(),
                        from: self.record.seconds(),
                        to: None,
                        end: "active",
                    });
                    runs.len() - 1
                };
                self.record.note(&format!("{} starts {task} run {run}, fence {fence}", self.id));
                let work = Duration::from_millis(work_ms.unwrap_or(1_000));
                let active = Active { begun: Instant::now(), work, stops: None, history };
                state.running.insert((task, run), active);
                Some((200, format!("{{\"clock_ms\":{}}}", state.clock_ms())))
            }
            "/shallotflow/run-stop" => {
                self.record.note(&format!("{} is told to stop {task} run {run}", self.id));
                if let Some(active) = state.running.get_mut(&(task.clone(), run)) {
                    active.stops.get_or_insert(Instant::now() + STOP_TIME);
                } else {
                    let over = state.over.entry(task).or_default();
                    *over = (*over).max(run);
                }
                Some((200, format!("{{\"clock_ms\":{}}}", state.clock_ms())))
            }
            "/shallotflow/pace" => Some((200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))),
            "/shallotflow/hold" => {
                if let Some(deadline_ms) = body.number("deadline_ms") {
                    state.extend(deadline_ms as u64);
                }
                let seen = body.integer("last_seen") as u64;
                state.finished.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(body.integer("wait_ms").max(0) as u64);
                let until = Instant::now() + wait;
                while state.finished.is_empty() && state.up {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|((task, run), active)| {
                        let share = active.begun.elapsed().as_secs_f64() / active.work.as_secs_f64();
                        format!("[{},{run},\"\",{},100]", quote(task), (share * 100.0) as u64)
                    })
                    .collect();
                let finished: Vec<String> = state
                    .finished
                    .iter()
                    .map(|(number, task, run, end)| {
                        format!("[{number},{},{run},\"{end}\",\"\"]", quote(task))
                    })
                    .collect();
                Some((
                    200,
                    format!(
                        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                        state.clock_ms(),
                        state.born,
                        running.join(","),
                        finished.join(",")
                    ),
                ))
            }
            _ => Some((400, "{}".into())),
        }
    }
}

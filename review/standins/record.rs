//! What was sent, answered and run, with the time since the start in milliseconds.

use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Started,
    Ended(&'static str),
    /// The end was taken note of: `last_seen` has reached it.
    Noted(&'static str),
    /// The lease of the worker has lapsed; no task is named.
    LeaseLapsed,
}

/// Something that a worker saw of a run.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u32,
    pub what: What,
}

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    seen: Mutex<Vec<Seen>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Mutex::default(), seen: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn say(&self, line: &str) {
        let line = format!("{:>7} ms  {line}", self.now_ms());
        self.lines.lock().unwrap().push(line);
    }

    pub fn see(&self, worker: &str, task: &str, run: u32, what: What) {
        self.say(&format!("worker {worker}: {task} run {run} {what:?}"));
        let at_ms = self.now_ms();
        let (worker, task) = (worker.to_owned(), task.to_owned());
        self.seen.lock().unwrap().push(Seen { at_ms, worker, task, run, what });
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub fn text(&self) -> String {
        self.lines.lock().unwrap().join("\n") + "\n"
    }
}

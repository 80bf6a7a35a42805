//! Batch jobs of one kind: submitted when they are due, then polled to their end.

use super::client::{Answer, Client, caller};
use super::generator::Progress;
use super::schedule::Schedule;
use super::service::Service;
use super::tally::latencies;
use super::token::Token;
use crate::floor::Kind;
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use shallotflow_core::resources::Bundle;
use shallotflow_wire::http::body::Body;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST_POLL: Duration = Duration::from_millis(200);
const LONGEST_POLL: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const OPEN_POLL: Duration = Duration::from_millis(20);

/// A stream of jobs of one kind.
pub struct Stream {
    /// The kind.
    pub kind: Kind,
    /// When jobs are due.
    pub schedule: Schedule,
    /// How long each runs.
    pub service: Service,
    /// Where they go.
    pub client: Client,
    /// When the run starts.
    pub start: Instant,
    /// How long after the start jobs are given up.
    pub until: Duration,
    /// The number of the generator thread.
    pub thread: u16,
    /// Distinguishes the keys of this run from those of others.
    pub seed: u64,
    /// Counts for the display.
    pub progress: Progress,
}

/// What came of the jobs of one kind.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// Jobs due.
    pub due: u64,
    /// Jobs that the system took.
    pub submitted: u64,
    /// Jobs that the system refused for good.
    pub refused: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs that failed on every attempt.
    pub failed: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs of which nothing is known.
    pub unknown: u64,
    /// Jobs set aside because no worker holds them.
    pub parked: u64,
    /// Jobs that the system took and then denied.
    pub lost: u64,
    /// Submissions sent again with the same key.
    pub resubmitted: u64,
    /// Time from when a job was due to when it was seen done.
    pub turnaround: Histogram<u64>,
}

impl Default for Jobs {
    fn default() -> Self {
        Self {
            due: 0,
            submitted: 0,
            refused: 0,
            done: 0,
            failed: 0,
            cancelled: 0,
            unknown: 0,
            parked: 0,
            lost: 0,
            resubmitted: 0,
            turnaround: latencies(),
        }
    }
}

impl Jobs {
    /// Adds what another stream counted.
    pub fn merge(&mut self, other: &Self) {
        self.due += other.due;
        self.submitted += other.submitted;
        self.refused += other.refused;
        self.done += other.done;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.unknown += other.unknown;
        self.parked += other.parked;
        self.lost += other.lost;
        self.resubmitted += other.resubmitted;
        // Histograms with the same bounds always add up.
        let _ = self.turnaround.add(&other.turnaround);
    }

    /// Jobs taken that have not come to an end.
    pub fn open(&self) -> u64 {
        let ended = self.done + self.failed + self.cancelled + self.unknown + self.lost;
        self.submitted.saturating_sub(ended)
    }
}

/// The body of a submission.
#[derive(Clone, Debug, Serialize)]
struct Submission<'a> {
    kind: &'a str,
    resources: Bundle,
    declared_run_ms: u64,
    idempotent: bool,
    priority: u8,
    payload: String,
}

/// What the payload asks of the stand-in worker.
#[derive(Clone, Debug, Serialize)]
struct Payload {
    run_ms: u64,
    token: Token,
}

/// The part of a job's record that the load looks at.
#[derive(Clone, Debug, Deserialize)]
struct Seen {
    state: SeenState,
}

#[derive(Clone, Debug, Deserialize)]
struct SeenState {
    state: String,
}

struct Job {
    caller: String,
    key: String,
    due: Duration,
    body: String,
}

#[derive(Clone)]
struct Context {
    client: Client,
    start: Instant,
    until: Duration,
    jobs: Rc<RefCell<Jobs>>,
    open: Rc<RefCell<u64>>,
    progress: Progress,
}

impl Stream {
    /// Submits all jobs and follows each to its end, or until the run is given up.
    pub async fn run(self) -> Jobs {
        let Self { kind, schedule, mut service, client, start, until, thread, seed, progress } =
            self;
        let context =
            Context { client, start, until, jobs: Rc::default(), open: Rc::default(), progress };
        for (number, due) in schedule.enumerate() {
            let now = start.elapsed();
            if due > now {
                monoio::time::sleep(due - now).await;
            }
            let token = Token::new(thread, number as u64);
            let payload = Payload { run_ms: service.draw().as_millis() as u64, token };
            let Some(body) = submission(&kind, &payload) else { continue };
            context.jobs.borrow_mut().due += 1;
            *context.open.borrow_mut() += 1;
            let job =
                Job { caller: caller(number as u64), key: format!("{seed}-{token}"), due, body };
            monoio::spawn(context.clone().follow(job));
        }
        while *context.open.borrow() > 0 && start.elapsed() < until {
            monoio::time::sleep(OPEN_POLL).await;
        }
        context.jobs.take()
    }
}

impl Context {
    async fn follow(self, job: Job) {
        if let Some(location) = self.submit(&job).await {
            self.await_end(&job, &location).await;
        }
        *self.open.borrow_mut() -= 1;
    }

    /// Submits until the system takes the job or refuses it for good; gives its location.
    async fn submit(&self, job: &Job) -> Option<String> {
        while self.start.elapsed() < self.until {
            let request = Request::post("/jobs")
                .header("shallotflow-caller", &job.caller)
                .header("idempotency-key", &job.key)
                .header("content-type", "application/json")
                .body(Body::from(job.body.clone()))
                .ok()?;
            match self.client.send(request, CALL_TIMEOUT).await {
                Ok(answer) if answer.status.is_success() => {
                    self.jobs.borrow_mut().submitted += 1;
                    self.progress.job_submitted();
                    return location(&answer);
                }
                Ok(answer) if is_final_refusal(answer.status) => {
                    self.jobs.borrow_mut().refused += 1;
                    return None;
                }
                _ => self.jobs.borrow_mut().resubmitted += 1,
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    async fn await_end(&self, job: &Job, location: &str) {
        let mut pause = FIRST_POLL;
        let mut parked = false;
        while self.start.elapsed() < self.until {
            monoio::time::sleep(pause).await;
            pause = (pause * 3 / 2).min(LONGEST_POLL);
            match self.state(&job.caller, location).await.as_deref() {
                Some("parked") if !parked => {
                    parked = true;
                    self.jobs.borrow_mut().parked += 1;
                }
                Some(state) if self.count_end(job, state) => return,
                _ => {}
            }
        }
    }

    async fn state(&self, caller: &str, location: &str) -> Option<String> {
        let request =
            Request::get(location).header("shallotflow-caller", caller).body(Body::Empty).ok()?;
        let answer = self.client.send(request, CALL_TIMEOUT).await.ok()?;
        if answer.status == StatusCode::NOT_FOUND {
            return Some("lost".to_owned());
        }
        let seen: Seen = serde_json::from_slice(&answer.body).ok()?;
        Some(seen.state.state)
    }

    /// Counts a job in a final state.
    fn count_end(&self, job: &Job, state: &str) -> bool {
        let mut jobs = self.jobs.borrow_mut();
        match state {
            "done" => {
                jobs.done += 1;
                let turnaround = self.start.elapsed().saturating_sub(job.due);
                jobs.turnaround.saturating_record(turnaround.as_micros() as u64);
                self.progress.job_done();
            }
            "failed" => jobs.failed += 1,
            "cancelled" => jobs.cancelled += 1,
            "unknown" => jobs.unknown += 1,
            "lost" => jobs.lost += 1,
            _ => return false,
        }
        true
    }
}

fn submission(kind: &Kind, payload: &Payload) -> Option<String> {
    let submission = Submission {
        kind: &kind.name,
        resources: kind.resources,
        declared_run_ms: kind.declared_run.as_millis() as u64,
        idempotent: kind.idempotent,
        priority: 100,
        payload: serde_json::to_string(payload).ok()?,
    };
    serde_json::to_string(&submission).ok()
}

fn location(answer: &Answer) -> Option<String> {
    Some(answer.headers.get("location")?.to_str().ok()?.to_owned())
}

/// Whether a resubmission could not change the answer.
fn is_final_refusal(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

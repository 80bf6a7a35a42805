//! Batch jobs of one kind: submitted when due, then polled until they end.

use super::client::{Answer, Client};
use super::jobs::Jobs;
use super::progress::Progress;
use super::schedule::Schedule;
use super::submission::{Submission, Submissions};
use http::{Method, Request, StatusCode};
use serde::Deserialize;
use shallotflow_wire::http::body::Body;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST_POLL: Duration = Duration::from_millis(200);
const LONGEST_POLL: Duration = Duration::from_millis(400);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const PREFIX: &str = "/jobs/";
/// Pseudo-state of a job that the system accepted but no longer knows.
const LOST: &str = "lost";
const OPEN_POLL: Duration = Duration::from_millis(20);

/// A stream of jobs of one kind.
pub struct Stream {
    /// When jobs are due.
    pub schedule: Schedule,
    /// The jobs to submit.
    pub submissions: Submissions,
    /// Sends the requests to the entry.
    pub client: Client,
    /// When the run starts.
    pub start: Instant,
    /// Time from the start after which open jobs are abandoned.
    pub until: Duration,
    /// Time from the start at which all jobs marked for cancellation are cancelled.
    pub cancel: Duration,
    /// Counts for the display.
    pub progress: Progress,
}

/// The fields of a job's record that the generator reads.
#[derive(Clone, Debug, Deserialize)]
struct Status {
    state: State,
    #[serde(default)]
    attempts: u32,
}

#[derive(Clone, Debug, Deserialize)]
struct State {
    state: String,
}

struct Job {
    submission: Submission,
    due: Duration,
}

#[derive(Clone)]
struct Context {
    client: Client,
    start: Instant,
    until: Duration,
    cancel: Duration,
    jobs: Rc<RefCell<Jobs>>,
    open: Rc<RefCell<u64>>,
    progress: Progress,
}

impl Stream {
    /// Submits all jobs and polls each until it ends or `until` has passed.
    pub async fn run(self) -> Jobs {
        let Self { schedule, submissions, client, start, until, cancel, progress } = self;
        let (jobs, open) = (Rc::default(), Rc::default());
        let context = Context { client, start, until, cancel, jobs, open, progress };
        for (due, submission) in schedule.zip(submissions) {
            let now = start.elapsed();
            if due > now {
                monoio::time::sleep(due - now).await;
            }
            context.jobs.borrow_mut().due += 1;
            *context.open.borrow_mut() += 1;
            monoio::spawn(context.clone().run_job(Job { submission, due }));
        }
        while *context.open.borrow() > 0 && start.elapsed() < until {
            monoio::time::sleep(OPEN_POLL).await;
        }
        context.jobs.take()
    }
}

impl Context {
    async fn run_job(self, job: Job) {
        if let Some(location) = self.submit(&job).await {
            self.await_end(&job, &location).await;
        }
        *self.open.borrow_mut() -= 1;
    }

    /// Retries until the system accepts the job or refuses it permanently; returns its location.
    async fn submit(&self, job: &Job) -> Option<String> {
        while self.start.elapsed() < self.until {
            let request = Request::post("/jobs")
                .header("shallotflow-caller", &job.submission.caller)
                .header("idempotency-key", &job.submission.key)
                .header("content-type", "application/json")
                .body(Body::from(job.submission.body.clone()))
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
        let mut will_cancel = job.submission.cancel && self.start.elapsed() < self.cancel;
        while self.start.elapsed() < self.until {
            let remaining = self.cancel.saturating_sub(self.start.elapsed());
            monoio::time::sleep(if will_cancel { pause.min(remaining) } else { pause }).await;
            pause = (pause * 3 / 2).min(LONGEST_POLL);
            let method =
                if will_cancel && remaining < pause { Method::DELETE } else { Method::GET };
            let status = self.request_status(&method, &job.submission.caller, location).await;
            // A cancellation without an answer is sent again.
            will_cancel = will_cancel && (method == Method::GET || status.is_none());
            match status {
                Some(status) if status.state.state == "parked" && !parked => {
                    parked = true;
                    self.jobs.borrow_mut().parked += 1;
                }
                Some(status) if self.record_end(job, location, &status) => return,
                _ => {}
            }
        }
    }

    /// Requests or cancels a job; returns the status from the answer.
    async fn request_status(
        &self,
        method: &Method,
        caller: &str,
        location: &str,
    ) -> Option<Status> {
        let request = Request::builder()
            .method(method)
            .uri(location)
            .header("shallotflow-caller", caller)
            .body(Body::Empty)
            .ok()?;
        let answer = self.client.send(request, CALL_TIMEOUT).await.ok()?;
        if answer.status == StatusCode::NOT_FOUND {
            return Some(Status { state: State { state: LOST.to_owned() }, attempts: 0 });
        }
        serde_json::from_slice(&answer.body).ok()
    }

    /// Counts a job in a final state; returns whether the state is final.
    fn record_end(&self, job: &Job, location: &str, status: &Status) -> bool {
        let mut jobs = self.jobs.borrow_mut();
        match status.state.state.as_str() {
            "done" => {
                jobs.done += 1;
                let turnaround = self.start.elapsed().saturating_sub(job.due);
                jobs.turnaround.saturating_record(turnaround.as_micros() as u64);
                self.progress.job_done();
            }
            "failed" => jobs.failed += 1,
            "cancelled" => {
                jobs.cancelled += 1;
                if status.attempts == 0 {
                    jobs.never_run.push(location.trim_start_matches(PREFIX).to_owned());
                }
            }
            "unknown" => jobs.unknown += 1,
            LOST => jobs.lost += 1,
            _ => return false,
        }
        true
    }
}

fn location(answer: &Answer) -> Option<String> {
    Some(answer.headers.get("location")?.to_str().ok()?.to_owned())
}

/// Whether the refusal is permanent, so that a resubmission cannot succeed.
fn is_final_refusal(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

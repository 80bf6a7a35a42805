//! Callers that submit, query and cancel jobs over persistent connections.

use crate::history::{History, Job};
use http::{Method, Request, StatusCode};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use shallotflow_core::graph::{Id, Spec, State, Step};
use shallotflow_core::resources::Bundle;
use shallotflow_standin::runs::Behavior;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before an attempt with an unknown outcome is retried at another entry.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Kind of all jobs.
const KIND: &str = "soak";

/// Status, whether the request is known not to have run, and body.
type Reply = (StatusCode, bool, bytes::Bytes);

/// A caller of all entries; clones share its connections and its history.
#[derive(Clone)]
pub struct Caller {
    /// The history of responses and runs.
    pub history: Rc<RefCell<History>>,
    entries: Vec<SocketAddr>,
    pool: Pool,
}

#[derive(Deserialize)]
struct Status {
    state: State,
}

impl Caller {
    /// A caller of `entries` that records the responses in `history`.
    pub fn new(entries: Vec<SocketAddr>, history: Rc<RefCell<History>>) -> Self {
        let limits = Limits { idle: Duration::from_secs(60), ..Limits::default() };
        Self { history, entries, pool: Pool::new(limits, REQUEST_TIMEOUT, 8) }
    }

    /// Sends a request to an entry; returns `None` if there is no response.
    async fn call(&self, entry: usize, method: &Method, id: Id, body: &str) -> Option<Reply> {
        let request = Request::builder()
            .method(method)
            .uri(format!("/graphs/{KIND}/{id}"))
            .header(header::CALLER, "soak")
            .body(Body::from(body.to_owned()))
            .ok()?;
        let address = self.entries[entry % self.entries.len()];
        let exchange = self.pool.exchange(address, request, MAX_RESPONSE_BYTES);
        let reply = monoio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok()?.ok()?;
        let not_run = reply.headers().get(header::OUTCOME).is_some_and(|o| o == "not-run");
        Some((reply.status(), not_run, reply.into_body()))
    }

    /// Submits a job, which is never cancelled if it is `lasting`, at one entry after another until the outcome is certain.
    pub async fn submit(&self, id: Id, spec: Spec, lasting: bool, entry: usize) {
        let Ok(body) = serde_json::to_string(&spec) else { return };
        self.history.borrow_mut().jobs.insert(id, Job { spec, lasting, ..Job::default() });
        let mut attempt = entry;
        loop {
            let reply = self.call(attempt, &Method::PUT, id, &body).await;
            {
                let mut history = self.history.borrow_mut();
                let Some(job) = history.jobs.get_mut(&id) else { return };
                match reply {
                    Some((StatusCode::ACCEPTED, ..)) => {
                        job.accepted = true;
                        return;
                    }
                    // A refusal is final, unless an earlier attempt may have submitted the job.
                    Some((_, true, _)) if !job.uncertain => return,
                    Some((_, true, _)) => {}
                    _ => job.uncertain = true,
                }
            }
            attempt += 1;
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Queries the state of a job at one entry.
    pub async fn query(&self, id: Id, entry: usize) {
        let (accepted, before) = match self.history.borrow().jobs.get(&id) {
            Some(job) => (job.accepted, job.last_state),
            None => return,
        };
        let reply = self.call(entry, &Method::GET, id, "").await;
        match reply {
            Some((StatusCode::OK, _, body)) => match serde_json::from_slice::<Status>(&body) {
                Ok(status) => {
                    self.history.borrow_mut().record_state(id, before, Some(status.state));
                }
                Err(error) => {
                    self.history
                        .borrow_mut()
                        .contradictions
                        .push(format!("cannot read the state of {id}: {error}"));
                }
            },
            Some((StatusCode::NOT_FOUND, ..)) if accepted => {
                self.history.borrow_mut().record_state(id, before, None);
            }
            _ => {}
        }
    }

    /// Cancels a job at one entry after another until the cancellation is confirmed.
    pub async fn cancel(&self, id: Id, entry: usize) {
        let mut attempt = entry;
        loop {
            if let Some(job) = self.history.borrow_mut().jobs.get_mut(&id) {
                job.cancel_sent = true;
            }
            let reply = self.call(attempt, &Method::DELETE, id, "").await;
            if let Some((StatusCode::OK | StatusCode::NOT_FOUND, ..)) = reply {
                if let Some(job) = self.history.borrow_mut().jobs.get_mut(&id) {
                    job.cancelled = true;
                }
                return;
            }
            attempt += 1;
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// A job whose `count` tasks run until it is cancelled.
pub fn lasting_spec(count: u32) -> Spec {
    let behavior = Behavior { long_running: true, ..Behavior::default() };
    let need = Bundle { millicores: 300, ..Bundle::default() };
    let step = Step { count, need, long_running: true, ..Step::default() };
    let text = serde_json::json!({ "steps": [behavior] }).to_string();
    Spec { text: text.into(), steps: vec![step], ..Spec::default() }
}

/// Draws a job; one in twelve runs until it is cancelled.
pub fn random_spec(rng: &mut SmallRng) -> Spec {
    let long_running = rng.random_range(0..12) == 0;
    let steps = if long_running { 1 } else { rng.random_range(1..4) };
    let mut behaviors = Vec::new();
    let mut graph = Vec::new();
    for number in 0..steps {
        behaviors.push(Behavior {
            run_ms: rng.random_range(10..500),
            fails_percent: match rng.random_range(0..20) {
                0 => 100,
                1..4 => 30,
                _ => 0,
            },
            long_running,
            checkpoint_ms: if rng.random_range(0..4) == 0 { 50 } else { 0 },
        });
        let after = if number == 0 { Vec::new() } else { vec![rng.random_range(0..number)] };
        let need = Bundle { millicores: rng.random_range(100..1_500), ..Bundle::default() };
        let count = rng.random_range(1..5);
        graph.push(Step { count, need, after, long_running, ..Step::default() });
    }
    let text = serde_json::json!({ "steps": behaviors }).to_string();
    Spec { text: text.into(), steps: graph, ..Spec::default() }
}

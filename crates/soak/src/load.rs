//! Callers: they submit, ask for and cancel jobs over connections that they keep.

use crate::book::{Book, Order};
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

/// How long a caller waits for an answer.
const LIMIT: Duration = Duration::from_secs(2);
/// Pause before an attempt without a certain answer is made again elsewhere.
const RETRY: Duration = Duration::from_millis(300);
/// Longest answer, bytes.
const ANSWER_LIMIT: usize = 64 * 1024;
/// The kind of all jobs.
const KIND: &str = "soak";

/// Status, whether the request was surely not run, and body.
type Answer = (StatusCode, bool, bytes::Bytes);

/// A caller of all entries; clones share its connections and its book.
#[derive(Clone)]
pub struct Caller {
    /// What callers and workers saw.
    pub book: Rc<RefCell<Book>>,
    entries: Vec<SocketAddr>,
    pool: Pool,
}

#[derive(Deserialize)]
struct Shown {
    state: State,
}

impl Caller {
    /// A caller of `entries` that notes what it is told in `book`.
    pub fn new(entries: Vec<SocketAddr>, book: Rc<RefCell<Book>>) -> Self {
        let limits = Limits { idle: Duration::from_secs(60), ..Limits::default() };
        Self { book, entries, pool: Pool::new(limits, LIMIT, 8) }
    }

    /// The answer of an entry; nothing when none came.
    async fn call(&self, entry: usize, method: &Method, id: Id, body: &str) -> Option<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("/graphs/{KIND}/{id}"))
            .header(header::CALLER, "soak")
            .body(Body::from(body.to_owned()))
            .ok()?;
        let address = self.entries[entry % self.entries.len()];
        let exchange = self.pool.exchange(address, request, ANSWER_LIMIT);
        let answer = monoio::time::timeout(LIMIT, exchange).await.ok()?.ok()?;
        let not_run = answer.headers().get(header::OUTCOME).is_some_and(|o| o == "not-run");
        Some((answer.status(), not_run, answer.into_body()))
    }

    /// Hands a job in, at one entry after the other, until there is a certain answer.
    pub async fn submit(&self, id: Id, spec: Spec, entry: usize) {
        let Ok(body) = serde_json::to_string(&spec) else { return };
        self.book.borrow_mut().orders.insert(id, Order { spec, ..Order::default() });
        let mut attempt = entry;
        loop {
            let answer = self.call(attempt, &Method::PUT, id, &body).await;
            {
                let mut book = self.book.borrow_mut();
                let Some(order) = book.orders.get_mut(&id) else { return };
                match answer {
                    Some((StatusCode::ACCEPTED, ..)) => {
                        order.accepted = true;
                        return;
                    }
                    // A refusal ends the attempts, if none before was without an answer.
                    Some((_, true, _)) if !order.uncertain => return,
                    Some((_, true, _)) => {}
                    _ => order.uncertain = true,
                }
            }
            attempt += 1;
            monoio::time::sleep(RETRY).await;
        }
    }

    /// Asks one entry for a job.
    pub async fn ask(&self, id: Id, entry: usize) {
        let (accepted, before) = match self.book.borrow().orders.get(&id) {
            Some(order) => (order.accepted, order.shown),
            None => return,
        };
        let answer = self.call(entry, &Method::GET, id, "").await;
        match answer {
            Some((StatusCode::OK, _, body)) => match serde_json::from_slice::<Shown>(&body) {
                Ok(shown) => self.book.borrow_mut().show(id, before, Some(shown.state)),
                Err(error) => {
                    self.book.borrow_mut().untrue.push(format!("state of {id}: {error}"));
                }
            },
            Some((StatusCode::NOT_FOUND, ..)) if accepted => {
                self.book.borrow_mut().show(id, before, None);
            }
            _ => {}
        }
    }

    /// Cancels a job, at one entry after the other, until that is confirmed.
    pub async fn cancel(&self, id: Id, entry: usize) {
        let mut attempt = entry;
        loop {
            if let Some(order) = self.book.borrow_mut().orders.get_mut(&id) {
                order.cancel_sent = true;
            }
            let answer = self.call(attempt, &Method::DELETE, id, "").await;
            if let Some((StatusCode::OK | StatusCode::NOT_FOUND, ..)) = answer {
                if let Some(order) = self.book.borrow_mut().orders.get_mut(&id) {
                    order.cancelled = true;
                }
                return;
            }
            attempt += 1;
            monoio::time::sleep(RETRY).await;
        }
    }
}

/// A job as the seed has it; every twelfth lasts until it is cancelled.
pub fn draw(rng: &mut SmallRng) -> Spec {
    let lasting = rng.random_range(0..12) == 0;
    let steps = if lasting { 1 } else { rng.random_range(1..4) };
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
            long_running: lasting,
            checkpoint_ms: if rng.random_range(0..4) == 0 { 50 } else { 0 },
        });
        let after = if number == 0 { Vec::new() } else { vec![rng.random_range(0..number)] };
        let need = Bundle { millicores: rng.random_range(100..1_500), ..Bundle::default() };
        let count = rng.random_range(1..5);
        graph.push(Step { count, need, after, lasting, ..Step::default() });
    }
    let text = serde_json::json!({ "steps": behaviors }).to_string();
    Spec { text: text.into(), steps: graph, ..Spec::default() }
}

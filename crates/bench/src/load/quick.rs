//! Requests of one quick or watch kind, sent when they are due.

use super::client::{Answer, Client, Failure, Result, caller};
use super::schedule::Schedule;
use super::tally::{Completion, Tally};
use super::token::Token;
use crate::load::progress::Progress;
use crate::load::service::Service;
use crate::testbed::Kind;
use bytes::Bytes;
use http::Request;
use shallotflow_core::class::Class;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_wire::http::body::Body;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a caller waits beyond the deadline of its request.
const GRACE: Duration = Duration::from_millis(500);
/// Header with the time at which the stand-in target started the request, in microseconds of the
/// monotonic clock that it shares with this process.
const STARTED_HEADER: &str = "standin-started-us";
const OPEN_POLL: Duration = Duration::from_millis(20);

/// A stream of requests of one kind.
pub struct Stream {
    /// The kind.
    pub kind: Kind,
    /// When requests are due.
    pub schedule: Schedule,
    /// The service times of the requests.
    pub service: Service,
    /// Sends the requests to the entry.
    pub client: Client,
    /// When the run starts.
    pub start: Instant,
    /// The token prefix of the stream.
    pub thread: u16,
    /// Counts for the display.
    pub progress: Progress,
}

struct PendingRequest {
    token: Token,
    due: Duration,
    service: Duration,
    body: Bytes,
}

impl Stream {
    /// Sends all requests and waits until each is answered or has timed out.
    pub async fn run(self) -> Tally {
        let Self { kind, schedule, mut service, client, start, thread, progress } = self;
        let kind = Rc::new(kind);
        let tally = Rc::new(RefCell::new(Tally::default()));
        for (number, due) in schedule.enumerate() {
            let now = start.elapsed();
            if due > now {
                monoio::time::sleep(due - now).await;
            }
            let token = Token::new(thread, number as u64);
            let body = token.body(kind.body_bytes);
            let pending = PendingRequest { token, due, service: service.draw(), body };
            tally.borrow_mut().record_sent(due, start.elapsed().saturating_sub(due));
            progress.record_sent();
            let (kind, client) = (kind.clone(), client.clone());
            let (tally, progress) = (tally.clone(), progress.clone());
            monoio::spawn(async move {
                let completion = pending.send(&kind, &client, start).await;
                progress.record_end(completion.outcome);
                tally.borrow_mut().record_end(&completion);
            });
        }
        while tally.borrow().open() > 0 {
            monoio::time::sleep(OPEN_POLL).await;
        }
        tally.take()
    }
}

impl PendingRequest {
    async fn send(self, kind: &Kind, client: &Client, start: Instant) -> Completion {
        let elapsed = start.elapsed().saturating_sub(self.due);
        let limit = (kind.deadline + GRACE).saturating_sub(elapsed);
        let sent = Monotonic.now();
        let answer = match request(kind, &self) {
            Some(request) => client.send(request, limit).await,
            None => Err(Failure::NotSent),
        };
        let latency = start.elapsed().saturating_sub(self.due);
        self.completion(kind, sent, latency, &answer)
    }

    fn completion(
        &self,
        kind: &Kind,
        sent: Time,
        latency: Duration,
        answer: &Result<Answer>,
    ) -> Completion {
        let outcome = match answer {
            Ok(answer) => answer.outcome(),
            Err(failure) => failure.outcome(),
        };
        let intact = match answer {
            Ok(answer) if outcome == Outcome::Done => self.token.matches(&self.body, &answer.body),
            _ => true,
        };
        Completion {
            token: self.token,
            due: self.due,
            latency,
            waited: self.waited(sent, latency, answer),
            outcome,
            intact,
            in_time: latency <= kind.deadline,
        }
    }

    /// Time from sending the request to its start at the target.
    fn waited(&self, sent: Time, latency: Duration, answer: &Result<Answer>) -> Duration {
        match answer.as_ref().ok().and_then(started) {
            Some(started) => started.since(sent),
            None => latency.saturating_sub(self.service),
        }
    }
}

fn started(answer: &Answer) -> Option<Time> {
    let value = answer.headers.get(STARTED_HEADER)?.to_str().ok()?;
    value.parse().ok().map(Time::from_micros)
}

fn request(kind: &Kind, pending: &PendingRequest) -> Option<Request<Body>> {
    let class = if kind.class == Class::Watch { Class::Watch } else { Class::Quick };
    let request = Request::post(format!("/run/{}", kind.name))
        .header("shallotflow-caller", caller(pending.token.number()))
        .header("shallotflow-class", class.as_str())
        .header("shallotflow-deadline-ms", kind.deadline.as_millis().to_string())
        .header("shallotflow-idempotent", if kind.idempotent { "true" } else { "false" })
        .header("shallotflow-request-id", pending.token.to_string())
        .header("shallotflow-resources", resources(&kind.resources))
        .header("standin-run-ms", pending.service.as_millis().to_string());
    request.body(Body::Full(pending.body.clone())).ok()
}

fn resources(need: &Bundle) -> String {
    let Bundle { slots, connections, millicores, memory_mib, accelerators } = need;
    format!(
        "slots={slots},connections={connections},millicores={millicores},\
         memory_mib={memory_mib},accelerators={accelerators}"
    )
}

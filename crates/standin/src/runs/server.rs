use super::state::State;
use super::{Events, Result};
use crate::reply::answer;
use bytes::Bytes;
use event_listener::Event;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use serde::de::DeserializeOwned;
use shallotflow_core::settings::standin::Settings;
use shallotflow_scheduler::agent::{Error, Lists};
use shallotflow_scheduler::runs::{Describe, Pace, Poll, Start, Stop};
use shallotflow_wire::control::Call;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server::Handler;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of a call, in bytes; the text of a job is its largest part.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Interval at which the runs in progress are advanced.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves the calls of an agent; clones share the worker.
#[derive(Clone)]
pub struct Server {
    state: Rc<RefCell<State>>,
    ended: Rc<Event>,
}

impl Server {
    /// A new incarnation of the worker that `settings` describe.
    pub fn new(settings: &Settings) -> Self {
        Self { state: Rc::new(RefCell::new(State::new(settings))), ended: Rc::default() }
    }

    /// Advances the runs in progress; never returns.
    pub async fn work(self) {
        loop {
            monoio::time::sleep(POLL_INTERVAL).await;
            let before = self.state.borrow().last_end();
            self.state.borrow_mut().advance();
            if self.state.borrow().last_end() > before {
                self.ended.notify(usize::MAX);
            }
        }
    }

    /// Reports from now on that the worker is draining and leaves in `remaining`.
    pub fn leave(&self, remaining: Duration) {
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        self.state.borrow_mut().leave(remaining_ms);
    }

    async fn poll(&self, call: Poll) -> Result<Lists> {
        self.state.borrow_mut().poll(&call)?;
        let deadline = Instant::now() + Duration::from_millis(call.wait_ms);
        loop {
            let ended = self.ended.listen();
            let lists = self.state.borrow_mut().lists();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || lists.ends.rows().iter().any(|end| end.number > call.recorded)
            {
                return Ok(lists);
            }
            monoio::select! {
                _ = ended => {}
                () = monoio::time::sleep(remaining) => {}
            }
        }
    }

    async fn dispatch(&self, path: &str, body: &Bytes) -> Response<Body> {
        match path {
            Describe::PATH => {
                answer(parse::<Describe>(body).map(|_| self.state.borrow().profile()))
            }
            Start::PATH => {
                answer(parse(body).and_then(|call| self.state.borrow_mut().start(&call)))
            }
            Stop::PATH => {
                let stopped = parse(body).and_then(|call| self.state.borrow_mut().stop(&call));
                self.ended.notify(usize::MAX);
                answer(stopped)
            }
            Pace::PATH => answer(parse(body).and_then(|call| self.state.borrow_mut().pace(&call))),
            Poll::PATH => match parse(body) {
                Ok(call) => answer(self.poll(call).await),
                Err(error) => answer::<(), _>(Err(error)),
            },
            Events::PATH => {
                answer(parse::<Events>(body).map(|call| self.state.borrow().events(call.after)))
            }
            _ => {
                let refused = Error::Refused(format!("{path} is not a call of this interface"));
                answer::<(), _>(Err(refused))
            }
        }
    }
}

impl Handler for Server {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let server = self.clone();
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            match request.into_body().collect(MAX_CALL_BYTES).await {
                Ok(body) => server.dispatch(&path, &body).await,
                Err(error) => answer::<(), _>(Err(Error::Refused(error.to_string()))),
            }
        })
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Refused(error.to_string()))
}

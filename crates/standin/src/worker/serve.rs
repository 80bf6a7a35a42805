//! The worker's control interface over HTTP.

use super::{Result, Worker};
use crate::reply::{answer, status};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use shallotflow_wire::control::{self, Call, Fault};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server::Handler;
use std::net::SocketAddr;

const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// Serves control calls.
pub struct Control {
    worker: Worker,
}

impl Control {
    /// The control interface of `worker`.
    pub fn new(worker: Worker) -> Self {
        Self { worker }
    }
}

impl Handler for Control {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let worker = self.worker.clone();
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            match request.into_body().collect(MAX_CALL_BYTES).await {
                Ok(body) => dispatch(&worker, &path, &body).await,
                Err(error) => answer::<(), _>(Err(malformed(&error))),
            }
        })
    }
}

async fn dispatch(worker: &Worker, path: &str, body: &Bytes) -> Response<Body> {
    match path {
        control::Attach::PATH => answer(parse(body).and_then(|call| worker.attach(&call))),
        control::Start::PATH => answer(parse(body).and_then(|call| worker.start(&call))),
        control::Renew::PATH => answer(parse(body).and_then(|call| worker.renew(&call))),
        control::Throttle::PATH => answer(parse(body).and_then(|call| worker.throttle(&call))),
        control::Checkpoint::PATH => answer(parse(body).and_then(|call| worker.checkpoint(&call))),
        control::Stop::PATH => answer(parse(body).and_then(|call| worker.stop(&call))),
        control::Acknowledge::PATH => {
            answer(parse(body).and_then(|call| worker.acknowledge(&call)))
        }
        control::Usage::PATH => answer(parse(body).and_then(|call| worker.usage(&call))),
        control::List::PATH => match parse(body) {
            Ok(call) => answer(worker.list(&call).await),
            Err(fault) => answer::<(), _>(Err(fault)),
        },
        _ => status(StatusCode::NOT_FOUND, Body::Empty),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| malformed(&error))
}

fn malformed(error: &dyn std::error::Error) -> Fault {
    Fault::Malformed { detail: error.to_string() }
}

//! Liveness and readiness for operators.

use crate::state::State;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, StatusCode};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server::Handler;
use std::net::SocketAddr;
use std::rc::Rc;

/// Answers operators and the platform's health checks.
pub struct Front {
    state: Rc<State>,
}

impl Front {
    /// A front over the tables of an entry.
    pub fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Front {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let (status, text) = match request.uri().path() {
            "/healthz" => (StatusCode::OK, "alive"),
            "/readyz" if self.state.is_leaving() => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            "/readyz" => (StatusCode::OK, "ready"),
            _ => (StatusCode::NOT_FOUND, "not found"),
        };
        let mut response = Response::new(Body::from(text));
        *response.status_mut() = status;
        Box::pin(async move { response })
    }
}

//! Handles the requests of operators.

use super::Inspect;
use crate::program::Program;
use crate::stop::{Level, Stop};
use futures_util::future::LocalBoxFuture;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server;
use std::net::SocketAddr;
use std::rc::Rc;

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const PROMETHEUS: &str = "text/plain; version=0.0.4";

pub(super) struct Handler {
    pub(super) program: Program,
    pub(super) inspect: Rc<dyn Inspect>,
    pub(super) stop: Stop,
}

impl server::Handler for Handler {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let response = self.respond(&request);
        Box::pin(std::future::ready(response))
    }
}

impl Handler {
    fn respond(&self, request: &Request<Body>) -> Response<Body> {
        let path = request.uri().path();
        let is_get = request.method() == Method::GET || request.method() == Method::HEAD;
        match path {
            "/healthz" if is_get => text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" if is_get => self.readiness(),
            "/metrics" if is_get => self.metrics(),
            "/dump" if is_get => self.dump(),
            "/log" if is_get => text(StatusCode::OK, format!("{}\n", self.program.filter())),
            "/log" if request.method() == Method::POST => self.set_filter(request.uri().query()),
            "/healthz" | "/readyz" | "/metrics" | "/dump" => not_allowed("GET, HEAD"),
            "/log" => not_allowed("GET, HEAD, POST"),
            _ => text(
                StatusCode::NOT_FOUND,
                format!("{path} is not served; use /healthz, /readyz, /metrics, /dump or /log\n"),
            ),
        }
    }

    fn readiness(&self) -> Response<Body> {
        if self.stop.level() > Level::Run {
            return text(StatusCode::SERVICE_UNAVAILABLE, "not ready: leaving\n".to_owned());
        }
        match self.inspect.ready() {
            Ok(()) => text(StatusCode::OK, "ready\n".to_owned()),
            Err(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    fn metrics(&self) -> Response<Body> {
        let handle = self.program.metrics();
        handle.run_upkeep();
        response(StatusCode::OK, PROMETHEUS, handle.render())
    }

    fn dump(&self) -> Response<Body> {
        response(StatusCode::OK, JSON, format!("{:#}\n", self.inspect.dump()))
    }

    fn set_filter(&self, query: Option<&str>) -> Response<Body> {
        let Some(filter) = query.and_then(|query| query.strip_prefix("filter=")) else {
            let hint = "no filter given; use /log?filter=info,TARGET=debug\n";
            return text(StatusCode::BAD_REQUEST, hint.to_owned());
        };
        let filter = percent_decode_str(filter).decode_utf8_lossy();
        match self.program.set_filter(&filter) {
            Ok(()) => text(StatusCode::OK, format!("{filter}\n")),
            Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}

fn not_allowed(methods: &'static str) -> Response<Body> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, format!("use {methods}\n"));
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(methods));
    response
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    response(status, TEXT, body)
}

fn response(status: StatusCode, media_type: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}

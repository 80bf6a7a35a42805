//! Routes callers' requests by path and method.

use super::{Options, answer, graphs, jobs, options};
use crate::quick::{self, Payload};
use crate::state::State;
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Method, Request, Response, request};
use shallotflow_core::class::Class;
use shallotflow_core::graph::{self, Id};
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::header;
use shallotflow_wire::http as transport;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server::Handler;
use std::net::SocketAddr;
use std::rc::Rc;

const RETRY_AFTER_S: u32 = 1;

/// The HTTP handler for callers.
pub struct Router {
    state: Rc<State>,
}

/// The resource that a path names.
enum Route {
    Run(Name),
    Jobs,
    Job(Name),
    Graphs(Name),
    Graph(Name, Id),
}

impl Router {
    /// Creates a router over the shared tables of an entry.
    pub fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Router {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        Box::pin(respond(self.state.clone(), request))
    }

    fn refuse(&self, error: &transport::Error) -> Response<Body> {
        let code = match error {
            transport::Error::HeadTooLarge(_) => Code::HeadTooLarge,
            transport::Error::BodyTooLarge(_) => Code::BodyTooLarge,
            transport::Error::Slow => Code::SlowCaller,
            _ => Code::Malformed,
        };
        answer::problem(&Problem::not_run(code, error.to_string()))
    }

    fn overloaded(&self) -> Response<Body> {
        let detail = "this entry has its maximum number of connections";
        answer::problem(&Problem::not_run(Code::Overloaded, detail).retry_after(RETRY_AFTER_S))
    }
}

async fn respond(state: Rc<State>, request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let options = match Options::read(&head.headers, state.settings.longest_deadline) {
        Ok(options) => options,
        Err(error) => return answer::problem(&error.problem()),
    };
    let id = options.id.clone().unwrap_or_else(|| state.next_request_id());
    let mut response = route_request(state, &id, options, head, body).await;
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(header::REQUEST_ID, value);
    }
    response
}

async fn route_request(
    state: Rc<State>,
    id: &Name,
    options: Options,
    head: request::Parts,
    body: Body,
) -> Response<Body> {
    match (parse_path(head.uri.path()), &head.method) {
        (Ok(Route::Run(kind)), &Method::POST) => run(state, id, kind, options, head, body).await,
        (Ok(Route::Run(_)), _) => not_allowed(&head.method, "POST"),
        (Ok(Route::Jobs), &Method::POST) => {
            jobs::submit(&state, &options, &head.headers, body).await
        }
        (Ok(Route::Jobs), _) => not_allowed(&head.method, "POST"),
        (Ok(Route::Job(job)), &Method::GET) => jobs::read(&state, job).await,
        (Ok(Route::Job(job)), &Method::DELETE) => jobs::cancel(&state, job).await,
        (Ok(Route::Job(_)), _) => not_allowed(&head.method, "GET, DELETE"),
        (Ok(Route::Graphs(kind)), &Method::GET) => {
            into_response(graphs::waiting(&state, kind).await)
        }
        (Ok(Route::Graphs(_)), _) => not_allowed(&head.method, "GET"),
        (Ok(Route::Graph(kind, id)), &Method::PUT) => {
            into_response(graphs::submit(&state, &options, kind, id, body).await)
        }
        (Ok(Route::Graph(kind, id)), &Method::GET) => {
            into_response(graphs::read(&state, kind, id).await)
        }
        (Ok(Route::Graph(kind, id)), &Method::DELETE) => {
            into_response(graphs::cancel(&state, kind, id).await)
        }
        (Ok(Route::Graph(..)), _) => not_allowed(&head.method, "PUT, GET, DELETE"),
        (Err(problem), _) => answer::problem(&problem),
    }
}

async fn run(
    state: Rc<State>,
    id: &Name,
    kind: Name,
    options: Options,
    head: request::Parts,
    body: Body,
) -> Response<Body> {
    let timeout = options.timeout.unwrap_or_else(|| match options.class {
        Class::Watch => state.settings.longest_deadline,
        Class::Quick | Class::Batch => state.quick_deadline(&kind, &options.caller),
    });
    let deadline = state.now().after(timeout);
    let payload = match Payload::read(body).await {
        Ok(payload) => payload,
        Err(error) => return answer::problem(&quick::caller_problem(&error)),
    };
    let request = quick::Request { id: id.clone(), kind, options, deadline, head, payload };
    quick::dispatch(state, request).await
}

fn parse_path(path: &str) -> Result<Route, Problem> {
    let mut segments = path.split('/').skip(1);
    let route = match (segments.next(), segments.next(), segments.next()) {
        (Some("graphs"), Some(kind), id) if options::is_name(kind) && segments.next().is_none() => {
            let kind = Name::from(kind);
            let Some(id) = id else { return Ok(Route::Graphs(kind)) };
            let malformed =
                |error: graph::Error| Problem::not_run(Code::Malformed, error.to_string());
            return Ok(Route::Graph(kind, id.parse().map_err(malformed)?));
        }
        (Some("run"), Some(kind), None) => options::is_name(kind).then(|| Route::Run(kind.into())),
        (Some("jobs"), None, None) => Some(Route::Jobs),
        (Some("jobs"), Some(job), None) => jobs::is_id(job).then(|| Route::Job(job.into())),
        _ => None,
    };
    let detail = || {
        format!(
            "path {:?} does not exist at this entry",
            path.chars().take(200).collect::<String>()
        )
    };
    route.ok_or_else(|| Problem::not_run(Code::NotFound, detail()))
}

fn into_response(result: Result<Response<Body>, Problem>) -> Response<Body> {
    result.unwrap_or_else(|problem| answer::problem(&problem))
}

fn not_allowed(method: &Method, allowed: &'static str) -> Response<Body> {
    let detail = format!("method {method} is not accepted on this path; use {allowed}");
    let problem = Problem::not_run(Code::MethodNotAllowed, detail);
    answer::with_allow(answer::problem(&problem), allowed)
}

//! Answers that an entry makes itself.

use http::header::{ALLOW, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use shallotflow_core::problem::Problem;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;

/// A problem document.
pub fn problem(problem: &Problem) -> Response<Body> {
    let mut response = json(status(problem.status), problem);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(Problem::MEDIA_TYPE));
    headers.insert(header::OUTCOME, HeaderValue::from_static(problem.outcome.as_str()));
    if let Some(seconds) = problem.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// A JSON document.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    // Records and problems have string keys only, so that writing them cannot fail.
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The same answer with the methods that the path accepts.
pub fn allow(mut response: Response<Body>, methods: &'static str) -> Response<Body> {
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(methods));
    response
}

/// The same answer with the path of what it made.
pub fn location(mut response: Response<Body>, path: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(path) {
        response.headers_mut().insert(LOCATION, value);
    }
    response
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

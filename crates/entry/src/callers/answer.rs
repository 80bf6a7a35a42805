//! Responses that the entry itself creates.

use http::header::{ALLOW, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use shallotflow_core::problem::Problem;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;

/// Returns a problem document as a response.
pub fn problem(problem: &Problem) -> Response<Body> {
    let mut response = json(status_code(problem.status), problem);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(Problem::MEDIA_TYPE));
    headers.insert(header::OUTCOME, HeaderValue::from_static(problem.outcome.as_str()));
    if let Some(seconds) = problem.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns `value` as a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    // Serialization cannot fail, because records and problems have only string keys.
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Adds an `Allow` header with the methods that the path accepts.
pub fn with_allow(mut response: Response<Body>, methods: &'static str) -> Response<Body> {
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(methods));
    response
}

/// Adds a `Location` header with the path of the created resource.
pub fn with_location(mut response: Response<Body>, path: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(path) {
        response.headers_mut().insert(LOCATION, value);
    }
    response
}

fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

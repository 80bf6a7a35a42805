//! HTTP responses with a JSON body.

use http::{Response, StatusCode};
use serde::Serialize;
use shallotflow_wire::http::body::Body;

/// Returns `200` with the reply, or `409` with the reason why the call was refused.
pub(crate) fn answer<T: Serialize, E: Serialize>(result: Result<T, E>) -> Response<Body> {
    match result {
        Ok(reply) => json(StatusCode::OK, &reply),
        Err(fault) => json(StatusCode::CONFLICT, &fault),
    }
}

fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => status(code, Body::Full(text.into())),
        Err(error) => status(StatusCode::INTERNAL_SERVER_ERROR, Body::from(error.to_string())),
    }
}

/// A response with the given status and body.
pub(crate) fn status(code: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = code;
    response
}

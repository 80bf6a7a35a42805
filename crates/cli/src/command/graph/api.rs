//! Requests to the graph API of an entry, and the output for a job.

use crate::connect::{Entry, Response};
use crate::error::{Error, Result};
use crate::output::Output;
use http::{Method, Request};
use serde::{Deserialize, Serialize};
use serde_json::json;
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_wire::http::body::Body;

/// The fields of a job in a response that are printed.
#[derive(Debug, Serialize, Deserialize)]
struct Summary {
    id: Id,
    kind: Name,
    state: Name,
}

/// Returns the URL path of a job.
pub(super) fn path(kind: &str, id: Id) -> String {
    format!("/graphs/{kind}/{id}")
}

/// Creates a request without a body.
pub(super) fn request(method: Method, path: &str) -> Result<Request<Body>> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Body::Empty)
        .map_err(|error| Error::Argument(format!("`{path}` is not a valid path: {error}")))
}

/// Sends a request for a job and formats the job in the response.
pub(super) async fn call(entry: &Entry, method: Method, kind: &str, id: Id) -> Result<Output> {
    output(&entry.send(request(method, &path(kind, id))?).await?)
}

/// Formats the job in a response.
pub(super) fn output(response: &Response) -> Result<Output> {
    let summary: Summary = response.json()?;
    let row = vec![summary.id.to_string(), summary.kind.to_string(), summary.state.to_string()];
    Ok(Output::table(&["ID", "KIND", "STATE"], vec![row], "", json!(summary)))
}

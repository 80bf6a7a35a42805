//! Requests about one job, and how it is shown.

use crate::answer::Answer;
use crate::connect::{Callers, Reply};
use crate::error::{Error, Result};
use http::{Method, Request};
use serde::{Deserialize, Serialize};
use serde_json::json;
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_wire::http::body::Body;

/// A job as an entry shows it.
#[derive(Debug, Serialize, Deserialize)]
struct Shown {
    id: Id,
    kind: Name,
    state: Name,
}

/// The path of a job.
pub(super) fn path(kind: &str, id: Id) -> String {
    format!("/graphs/{kind}/{id}")
}

/// A request on a path of an entry.
pub(super) fn request(method: Method, path: &str) -> Result<Request<Body>> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Body::Empty)
        .map_err(|error| Error::Argument(format!("`{path}` is no path: {error}")))
}

/// Sends a request about a job and shows the job in the answer.
pub(super) async fn ask(entry: &Callers, method: Method, kind: &str, id: Id) -> Result<Answer> {
    show(&entry.send(request(method, &path(kind, id))?).await?)
}

/// The job in an answer.
pub(super) fn show(reply: &Reply) -> Result<Answer> {
    let shown: Shown = reply.json()?;
    let row = vec![shown.id.to_string(), shown.kind.to_string(), shown.state.to_string()];
    Ok(Answer::table(&["ID", "KIND", "STATE"], vec![row], "", json!(shown)))
}

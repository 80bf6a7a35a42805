//! Batch jobs over HTTP.

use super::answer;
use super::options::{self, Options};
use crate::quick;
use crate::state::State;
use http::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::resources::Bundle;
use shallotflow_policy::ledger::id;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;

const MAX_JOB_BYTES: usize = 256 * 1024;

/// The body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Draft {
    kind: Name,
    #[serde(default)]
    resources: Bundle,
    declared_run_ms: u64,
    #[serde(default)]
    idempotent: bool,
    priority: Option<u8>,
    #[serde(default)]
    payload: String,
}

/// Submits a job. Idempotent: a second submission with the same key returns the first job.
pub(super) async fn submit(
    state: &State,
    options: &Options,
    headers: &HeaderMap,
    body: Body,
) -> Response<Body> {
    let key = match key(headers) {
        Ok(key) => key,
        Err(problem) => return answer::problem(&problem),
    };
    let spec = match spec(state, options, body).await {
        Ok(spec) => spec,
        Err(problem) => return answer::problem(&problem),
    };
    let id = id::derive(&options.caller, &key, state.settings.ledgers);
    match state.batch.submit(id.clone(), spec, 0).await {
        Ok(submission) => {
            let response = answer::json(StatusCode::ACCEPTED, &submission.record);
            answer::with_location(response, &format!("/jobs/{id}"))
        }
        Err(problem) => answer::problem(&problem),
    }
}

/// Returns the record of a job.
pub(super) async fn read(state: &State, job: Name) -> Response<Body> {
    record(state.batch.read(job, 0).await)
}

/// Cancels a job.
pub(super) async fn cancel(state: &State, job: Name) -> Response<Body> {
    record(state.batch.cancel(job, 0).await)
}

/// Returns whether `text` has the form of a job identifier.
pub(super) fn is_id(text: &str) -> bool {
    id::ledger(text).is_some()
}

fn record(result: crate::batch::Result<Record>) -> Response<Body> {
    match result {
        Ok(record) => answer::json(StatusCode::OK, &record),
        Err(problem) => answer::problem(&problem),
    }
}

fn key(headers: &HeaderMap) -> Result<Name, Problem> {
    let key = options::name(headers, header::IDEMPOTENCY_KEY).map_err(|error| error.problem())?;
    let missing = "a job needs an Idempotency-Key header, so that it is recorded once";
    key.ok_or_else(|| Problem::not_run(Code::KeyMissing, missing))
}

async fn spec(state: &State, options: &Options, body: Body) -> Result<Spec, Problem> {
    let body = body.collect(MAX_JOB_BYTES).await.map_err(|error| quick::caller_problem(&error))?;
    let malformed = |detail| Problem::not_run(Code::Malformed, detail);
    let draft: Draft = serde_json::from_slice(&body)
        .map_err(|error| malformed(format!("the body is not a job: {error}")))?;
    if !options::is_name(&draft.kind) {
        return Err(malformed(format!("kind {:?} is not a name", draft.kind)));
    }
    let default_priority = || state.values(&draft.kind, &options.caller).priority;
    let priority = draft.priority.unwrap_or_else(default_priority);
    Ok(Spec {
        caller: options.caller.clone(),
        kind: draft.kind,
        resources: draft.resources,
        declared_run_ms: draft.declared_run_ms,
        idempotent: draft.idempotent,
        priority,
        payload: draft.payload,
    })
}

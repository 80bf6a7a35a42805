//! Batch jobs over HTTP.

use super::answer;
use super::ask::{self, Ask};
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

/// Submits a job; a second submission with the same key finds the first.
pub(super) async fn submit(
    state: &State,
    ask: &Ask,
    headers: &HeaderMap,
    body: Body,
) -> Response<Body> {
    let key = match key(headers) {
        Ok(key) => key,
        Err(problem) => return answer::problem(&problem),
    };
    let spec = match spec(state, ask, body).await {
        Ok(spec) => spec,
        Err(problem) => return answer::problem(&problem),
    };
    let id = id::derive(&ask.caller, &key, state.settings.ledgers);
    match state.batch.submit(id.clone(), spec, 0).await {
        Ok(submission) => {
            let response = answer::json(StatusCode::ACCEPTED, &submission.record);
            answer::location(response, &format!("/jobs/{id}"))
        }
        Err(problem) => answer::problem(&problem),
    }
}

/// The record of a job.
pub(super) async fn read(state: &State, job: Name) -> Response<Body> {
    record(state.batch.read(job, 0).await)
}

/// Cancels a job.
pub(super) async fn cancel(state: &State, job: Name) -> Response<Body> {
    record(state.batch.cancel(job, 0).await)
}

/// Whether `text` has the form of a job's identifier.
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
    let key = ask::name(headers, header::IDEMPOTENCY_KEY).map_err(|error| error.problem())?;
    let missing = "a job needs an Idempotency-Key header, so that it is recorded once";
    key.ok_or_else(|| Problem::not_run(Code::KeyMissing, missing))
}

async fn spec(state: &State, ask: &Ask, body: Body) -> Result<Spec, Problem> {
    let body = body.collect(MAX_JOB_BYTES).await.map_err(|error| quick::caller_problem(&error))?;
    let malformed = |detail| Problem::not_run(Code::Malformed, detail);
    let draft: Draft = serde_json::from_slice(&body)
        .map_err(|error| malformed(format!("the body is not a job: {error}")))?;
    if !ask::is_name(&draft.kind) {
        return Err(malformed(format!("kind {:?} is not a name", draft.kind)));
    }
    let usual = || state.values(&draft.kind, &ask.caller).priority;
    let priority = draft.priority.unwrap_or_else(usual);
    Ok(Spec {
        caller: ask.caller.clone(),
        kind: draft.kind,
        resources: draft.resources,
        declared_run_ms: draft.declared_run_ms,
        idempotent: draft.idempotent,
        priority,
        payload: draft.payload,
    })
}

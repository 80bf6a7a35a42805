//! Jobs of several tasks over HTTP.

use super::answer;
use super::options::Options;
use crate::state::State;
use crate::{graphs, quick};
use http::{Response, StatusCode};
use serde::Serialize;
use shallotflow_core::graph::{Id, Job, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_runtime::clock::wall_ms;
use shallotflow_scheduler::entry::{Cancellation, Entry, Submission};
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

/// The largest body of a submission, in bytes; a job of a thousand steps takes a third of it.
const MAX_JOB_BYTES: usize = 256 * 1024;
/// The delay after which a caller may retry when neither the owner nor the store answered, in
/// seconds.
const RETRY_AFTER_S: u32 = 1;
const MS_PER_S: u64 = 1_000;

/// The result of an operation, or the problem document for the caller.
type Result<T> = std::result::Result<T, Problem>;

/// The response body for one job.
#[derive(Serialize)]
struct Summary {
    id: Id,
    kind: Name,
    state: &'static str,
}

/// The response body with the number of waiting jobs of a kind.
#[derive(Serialize)]
struct Waiting {
    kind: Name,
    /// Accepted jobs of which no task has started.
    waiting: u64,
}

/// Submits a job. Idempotent: a second submission under the same identifier returns the first job.
pub(super) async fn submit(
    state: &State,
    options: &Options,
    kind: Name,
    id: Id,
    body: Body,
) -> Result<Response<Body>> {
    let spec = spec(body).await?;
    let entry = entry(state)?;
    let queue = graphs::queue(kind.clone(), state.values(&kind, &options.caller).priority);
    let job = Job { queue, spec, accepted_ms: wall_ms() };
    match entry.submit(id, job).await {
        Submission::Accepted => {
            // At this point the job is only known to be stored; its path gives the current state.
            let summary = Summary { id, kind: kind.clone(), state: "accepted" };
            let response = answer::json(StatusCode::ACCEPTED, &summary);
            Ok(answer::with_location(response, &format!("/graphs/{kind}/{id}")))
        }
        Submission::Refused { retry_ms } => {
            let seconds = u32::try_from(retry_ms.div_ceil(MS_PER_S)).unwrap_or(u32::MAX);
            let detail = "the store does not accept the job; submit it again";
            let problem = Problem::not_run(Code::StoreUnavailable, detail);
            Err(problem.retry_after(seconds))
        }
        Submission::Overloaded { retry_ms } => {
            let seconds = u32::try_from(retry_ms.div_ceil(MS_PER_S)).unwrap_or(u32::MAX);
            let detail = "the job has not run: it could not end in time beside the accepted jobs; \
                          submit it again after the delay";
            Err(Problem::not_run(Code::Overloaded, detail).retry_after(seconds))
        }
        Submission::TooLarge { step } => {
            let detail = format!("no worker is large enough for a task of step {step}");
            Err(Problem::not_run(Code::NeverFits, detail))
        }
        Submission::Unknown => {
            let detail = format!("it is not known whether job {id} is stored; submit it again");
            Err(Problem::unknown(Code::StoreUnavailable, detail))
        }
    }
}

/// Returns the state of a job.
pub(super) async fn read(state: &State, kind: Name, id: Id) -> Result<Response<Body>> {
    let entry = entry(state)?;
    match entry.state(&kind, id).await {
        Ok(Some(state)) => {
            Ok(answer::json(StatusCode::OK, &Summary { id, kind, state: state.as_str() }))
        }
        Ok(None) => Err(unknown_job(&kind, id)),
        Err(error) => {
            let problem = Problem::not_run(Code::StoreUnavailable, error.to_string());
            Err(problem.retry_after(RETRY_AFTER_S))
        }
    }
}

/// Cancels a job; a job that has ended is unchanged.
pub(super) async fn cancel(state: &State, kind: Name, id: Id) -> Result<Response<Body>> {
    let entry = entry(state)?;
    match entry.cancel(&kind, id).await {
        Cancellation::Cancelled => read(state, kind, id).await,
        Cancellation::Absent => Err(unknown_job(&kind, id)),
        Cancellation::Unknown => {
            let detail = format!("it is not known whether job {id} is cancelled; cancel it again");
            Err(Problem::unknown(Code::StoreUnavailable, detail))
        }
    }
}

/// Returns the number of jobs of a kind that wait for the start of their first task.
pub(super) async fn waiting(state: &State, kind: Name) -> Result<Response<Body>> {
    let entry = entry(state)?;
    match entry.waiting(&kind).await {
        Some(waiting) => Ok(answer::json(StatusCode::OK, &Waiting { kind, waiting })),
        None => {
            let problem = Problem::not_run(
                Code::OwnerUnavailable,
                "the owner of the job table did not answer",
            );
            Err(problem.retry_after(RETRY_AFTER_S))
        }
    }
}

fn entry(state: &State) -> Result<&Rc<Entry>> {
    let detail = "this entry accepts no jobs of several tasks; set graphs_listen and store";
    state.graphs.as_ref().ok_or_else(|| Problem::not_run(Code::StoreUnavailable, detail))
}

fn unknown_job(kind: &Name, id: Id) -> Problem {
    Problem::not_run(Code::UnknownJob, format!("there is no job {id} of kind {kind:?}"))
}

async fn spec(body: Body) -> Result<Spec> {
    let body = body.collect(MAX_JOB_BYTES).await.map_err(|error| quick::caller_problem(&error))?;
    let malformed = |detail| Problem::not_run(Code::Malformed, detail);
    let spec: Spec = serde_json::from_slice(&body)
        .map_err(|error| malformed(format!("the body is not a job: {error}")))?;
    spec.check().map_err(|error| malformed(error.to_string()))?;
    Ok(spec)
}

//! Handlers of calls about batch jobs.

use super::call::Result;
use crate::batch;
use crate::state::State;
use serde::Serialize;
use shallotflow_core::job::Spec;
use shallotflow_wire::proto;
use tonic::Status;

/// Submits a job for another entry or for the command line.
pub(super) async fn submit(
    state: &State,
    request: proto::SubmitRequest,
) -> Result<proto::JobReply> {
    let spec: Spec = serde_json::from_str(&request.spec)
        .map_err(|error| Status::invalid_argument(format!("spec is not a job: {error}")))?;
    let submitted = state.batch.submit(request.id.into(), spec, request.hops).await;
    let created = submitted.as_ref().is_ok_and(|submission| submission.created);
    let reply = reply(submitted.map(|submission| submission.record))?;
    Ok(proto::JobReply { created, ..reply })
}

/// Returns the record of a job.
pub(super) async fn read(state: &State, request: proto::JobRequest) -> Result<proto::JobReply> {
    reply(state.batch.read(request.id.into(), request.hops).await)
}

/// Cancels a job.
pub(super) async fn cancel(state: &State, request: proto::JobRequest) -> Result<proto::JobReply> {
    reply(state.batch.cancel(request.id.into(), request.hops).await)
}

/// Lists the jobs of the ledgers that this entry owns.
pub(super) fn list(state: &State, request: proto::ListRequest) -> Result<proto::ListReply> {
    let filter = (!request.state.is_empty()).then(|| request.state.as_str().into());
    let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
    let records = state.batch.list(filter, limit);
    let records = records.iter().map(json).collect::<Result<Vec<String>>>()?;
    Ok(proto::ListReply { records })
}

fn reply<T: Serialize>(result: batch::Result<T>) -> Result<proto::JobReply> {
    match result {
        Ok(record) => Ok(proto::JobReply { record: json(&record)?, ..Default::default() }),
        Err(problem) => Ok(proto::JobReply { problem: json(&problem)?, ..Default::default() }),
    }
}

fn json<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value)
        .map_err(|error| Status::internal(format!("a record cannot be serialized: {error}")))
}

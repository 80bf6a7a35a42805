//! Conversions between the types of `policy::ledger` and the protobuf messages.

use super::Decision;
use shallotflow_core::name::Name;
use shallotflow_policy::ledger::{Grant, Key, Phase, Reply, Report, Status};
use shallotflow_wire::proto;

/// Extracts the batch part of an agent's report.
pub(super) fn report(request: &proto::ReportRequest) -> Report {
    let load = request.load.unwrap_or_default();
    Report {
        worker: request.worker.as_str().into(),
        incarnation: request.incarnation,
        sequence: request.sequence,
        boot: request.boot,
        kinds: request.kinds.iter().map(|kind| Name::from(kind.as_str())).collect(),
        capacity: request.capacity.unwrap_or_default().into(),
        room: load.batch_room.unwrap_or_default().into(),
        leaving: request.leaving,
        tasks: request.tasks.iter().filter_map(status).collect(),
        epochs: request.epochs.iter().map(|seen| (seen.ledger, seen.epoch)).collect(),
    }
}

/// Converts a ledger reply to the messages for the agent.
pub(super) fn decision(reply: Reply) -> Decision {
    Decision {
        grants: reply.grants.into_iter().map(grant).collect(),
        stops: reply.stops.into_iter().map(|(key, epoch)| stop(key, epoch)).collect(),
        settled: reply.settled.iter().map(proto::TaskKey::from).collect(),
        owned: reply.owned.into_iter().map(|(ledger, epoch)| ledger_epoch(ledger, epoch)).collect(),
    }
}

fn status(status: &proto::TaskStatus) -> Option<Status> {
    let key = status.key.as_ref()?;
    let text = status.checkpoint.as_str();
    Some(Status {
        key: key.into(),
        phase: phase(status.phase())?,
        checkpoint: (!text.is_empty()).then(|| text.into()),
        reason: status.reason.clone(),
    })
}

fn phase(phase: proto::TaskPhase) -> Option<Phase> {
    match phase {
        proto::TaskPhase::Unspecified => None,
        proto::TaskPhase::Accepted => Some(Phase::Accepted),
        proto::TaskPhase::Running => Some(Phase::Running),
        proto::TaskPhase::Done => Some(Phase::Done),
        proto::TaskPhase::Failed => Some(Phase::Failed),
        proto::TaskPhase::Evicted => Some(Phase::Evicted),
        proto::TaskPhase::Stopped => Some(Phase::Stopped),
        proto::TaskPhase::Refused => Some(Phase::Refused),
        proto::TaskPhase::Lapsed => Some(Phase::Lapsed),
    }
}

fn grant(grant: Grant) -> proto::Grant {
    let record = grant.record;
    let spec = record.spec;
    proto::Grant {
        key: Some((&grant.key).into()),
        epoch: grant.epoch,
        caller: spec.caller.to_string(),
        kind: spec.kind.to_string(),
        resources: Some(spec.resources.into()),
        expected_run_ms: spec.declared_run_ms,
        idempotent: spec.idempotent,
        checkpoint: record.checkpoint.map(|name| name.to_string()).unwrap_or_default(),
        payload: spec.payload,
        priority: u32::from(spec.priority),
    }
}

fn stop(key: Key, epoch: u64) -> proto::Stop {
    proto::Stop { key: Some((&key).into()), epoch }
}

fn ledger_epoch(ledger: u32, epoch: u64) -> proto::LedgerEpoch {
    proto::LedgerEpoch { ledger, epoch }
}

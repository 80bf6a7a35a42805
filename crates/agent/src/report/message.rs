//! Encodes reports and decodes replies.

use crate::agent::Agent;
use crate::request::load;
use shallotflow_core::name::Name;
use shallotflow_core::task::Key;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::lease::{Grant, Owned, Reply, StopOrder, Task};
use shallotflow_policy::spread::{Body, Patch, Update};
use shallotflow_wire::proto;
use std::time::Duration;

/// Builds a report of the current state; `None` before the agent is attached to its worker.
///
/// The report includes the text of the configuration if the entry asked for it (`wants_config`).
pub(super) fn report(
    agent: &Agent,
    sequence: u64,
    wants_config: bool,
) -> Option<proto::ReportRequest> {
    let state = agent.state();
    let attachment = state.attachment.as_ref()?;
    let settings = agent.settings();
    let text = state.config.text();
    let config_text = if wants_config { text.to_string() } else { String::new() };
    Some(proto::ReportRequest {
        worker: settings.worker.to_string(),
        domain: settings.domain.to_string(),
        address: state.address.to_string(),
        kinds: attachment.kinds.iter().map(ToString::to_string).collect(),
        incarnation: agent.incarnation(),
        boot: attachment.boot,
        sequence,
        capacity: Some(state.admission.capacity().into()),
        load: Some(load(&state, Monotonic.now())),
        leaving: state.leaving || state.draining,
        config_revision: state.config.revision(),
        config_text,
        tasks: state.leases.tasks().map(|(key, task)| status(key, task)).collect(),
        epochs: state.leases.epochs().map(epoch).collect(),
    })
}

fn status(key: &Key, task: &Task) -> proto::TaskStatus {
    proto::TaskStatus {
        key: Some(key.into()),
        phase: proto::TaskPhase::from(task.phase).into(),
        checkpoint: task.checkpoint.clone(),
        reason: task.reason.clone(),
        run_ms: task.run_ms,
        usage: None,
    }
}

fn epoch(owned: Owned) -> proto::LedgerEpoch {
    proto::LedgerEpoch { ledger: owned.ledger, epoch: owned.epoch }
}

/// Decodes the reply to `report`, which was sent at `sent`.
pub(super) fn reply(
    reply: &proto::ReportReply,
    report: &proto::ReportRequest,
    sent: Time,
) -> Reply {
    let reported = report.tasks.iter().filter_map(|task| task.key.as_ref());
    let owned = |owned: &proto::LedgerEpoch| Owned { ledger: owned.ledger, epoch: owned.epoch };
    Reply {
        sent,
        lease: Duration::from_millis(reply.lease_ms.into()),
        reported: reported.map(Key::from).collect(),
        owned: reply.owned.iter().map(owned).collect(),
        grants: reply.grants.iter().filter_map(grant).collect(),
        stops: reply.stops.iter().filter_map(stop).collect(),
        settled: reply.settled.iter().map(Key::from).collect(),
    }
}

fn grant(grant: &proto::Grant) -> Option<Grant> {
    Some(Grant {
        key: grant.key.as_ref()?.into(),
        epoch: grant.epoch,
        caller: grant.caller.as_str().into(),
        kind: grant.kind.as_str().into(),
        resources: grant.resources.unwrap_or_default().into(),
        expected_run: Duration::from_millis(grant.expected_run_ms),
        idempotent: grant.idempotent,
        checkpoint: grant.checkpoint.clone(),
        payload: grant.payload.clone(),
        priority: u8::try_from(grant.priority).unwrap_or(u8::MAX),
    })
}

fn stop(stop: &proto::Stop) -> Option<StopOrder> {
    Some(StopOrder { key: stop.key.as_ref()?.into(), epoch: stop.epoch })
}

/// Decodes a configuration fetched from an entry.
pub(super) fn update(reply: &proto::ConfigReply) -> Update {
    let text: Name = reply.text.as_str().into();
    let body = match reply.base_revision {
        0 => Body::Whole(text),
        base => Body::Patch(Patch {
            base,
            prefix_bytes: reply.prefix_bytes,
            suffix_bytes: reply.suffix_bytes,
            middle: text,
        }),
    };
    Update { revision: reply.revision, body }
}

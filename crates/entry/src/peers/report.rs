//! Handlers of agents' reports and configuration requests.

use super::call::Result;
use crate::state::State;
use shallotflow_policy::{member, route};
use shallotflow_wire::proto;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tonic::Status;

const MAX_KINDS: usize = 256;
const MAX_NAME_BYTES: usize = 128;

/// Applies a report and returns the decisions for its worker.
pub(super) async fn handle(
    state: &State,
    request: proto::ReportRequest,
) -> Result<proto::ReportReply> {
    state.meters.borrow().report();
    let announcement = announcement(&request)?;
    apply_announcement(state, announcement, request.load.as_ref())?;
    let sequence = request.sequence;
    let notice = state.config.apply_report(request.config_revision, &request.config_text);
    let decision = state.batch.report(Rc::new(request)).await;
    let entries = state.directory.borrow().addresses().map(|address| address.to_string()).collect();
    Ok(proto::ReportReply {
        sequence,
        entries,
        config_revision: notice.revision,
        want_config: notice.wants_text,
        grants: decision.grants,
        stops: decision.stops,
        settled: decision.settled,
        owned: decision.owned,
        beat_ms: millis(state.settings.beat),
        lease_ms: millis(state.settings.task_lease),
    })
}

/// Returns the fleet configuration in force at this entry.
pub(super) fn config(state: &State, request: &proto::ConfigRequest) -> proto::ConfigReply {
    state.config.fetch(request.have_revision)
}

fn apply_announcement(
    state: &State,
    announcement: member::Announcement,
    load: Option<&proto::Load>,
) -> Result<()> {
    let now = state.now();
    let target = announcement.target.clone();
    let leaving = announcement.leaving;
    let mut members = state.members.borrow_mut();
    let last_incarnation =
        members.get(&target.worker).map(|member| member.announcement.incarnation);
    let incarnation = announcement.incarnation;
    members
        .apply_announcement(now, announcement)
        .map_err(|error| Status::failed_precondition(error.to_string()))?;
    let mut routes = state.routes.borrow_mut();
    let restarted = last_incarnation.is_some_and(|last| last != incarnation);
    let old = routes.find(&target.worker).filter(|_| restarted);
    if let Some(id) = old {
        state.close_idle(target.address);
        routes.remove(id);
    }
    let address = target.address;
    let id = routes.announce(target);
    if leaving && !routes.is_leaving(id) {
        state.close_idle(address);
    }
    routes.set_leaving(id, leaving);
    if let Some(load) = load {
        routes.observe(now, id, route_load(load));
        routes.observe_watchers(id, load.watchers);
    }
    Ok(())
}

fn announcement(request: &proto::ReportRequest) -> Result<member::Announcement> {
    let address: SocketAddr = request.address.parse().map_err(|_| {
        let given = &request.address;
        Status::invalid_argument(format!("address {given:?} is not ip:port; correct the agent"))
    })?;
    if request.kinds.len() > MAX_KINDS {
        let given = request.kinds.len();
        let detail = format!("{given} kinds exceed the limit of {MAX_KINDS}; announce fewer");
        return Err(Status::invalid_argument(detail));
    }
    let names = request.kinds.iter().chain([&request.worker, &request.domain]);
    for name in names {
        check_name(name)?;
    }
    Ok(member::Announcement {
        target: route::Target {
            worker: request.worker.as_str().into(),
            domain: request.domain.as_str().into(),
            address,
            kinds: request.kinds.iter().map(|kind| kind.as_str().into()).collect(),
        },
        incarnation: request.incarnation,
        sequence: request.sequence,
        boot: request.boot,
        capacity: request.capacity.unwrap_or_default().into(),
        leaving: request.leaving,
    })
}

fn check_name(name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        let detail = format!("name {name:?} needs 1 to {MAX_NAME_BYTES} bytes; correct the agent");
        return Err(Status::invalid_argument(detail));
    }
    Ok(())
}

fn route_load(load: &proto::Load) -> route::Load {
    route::Load {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        service_us: load.service_us,
        disturbance_milli: load.disturbance_milli,
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

//! Handlers of calls about targets.

use crate::state::State;
use shallotflow_policy::{member, route};
use shallotflow_wire::proto;

/// Lists the targets that this entry knows, filtered by kind if one is given.
pub(super) fn list(state: &State, request: &proto::TargetsRequest) -> proto::TargetsReply {
    let members = state.members.borrow();
    let routes = state.routes.borrow();
    let selected = members.iter().filter(|member| serves(member, &request.kind));
    let mut targets: Vec<proto::Target> =
        selected.map(|member| describe(state, &routes, member)).collect();
    targets.sort_by(|a, b| a.worker.cmp(&b.worker));
    proto::TargetsReply { targets }
}

fn serves(member: &member::Member, kind: &str) -> bool {
    let kinds = &member.announcement.target.kinds;
    kind.is_empty() || kinds.iter().any(|known| &**known == kind)
}

fn describe(state: &State, routes: &route::Table, member: &member::Member) -> proto::Target {
    let announcement = &member.announcement;
    let target = &announcement.target;
    let id = routes.find(&target.worker);
    let load = id.and_then(|id| routes.load(id)).unwrap_or_default();
    proto::Target {
        worker: target.worker.to_string(),
        domain: target.domain.to_string(),
        address: target.address.to_string(),
        kinds: target.kinds.iter().map(ToString::to_string).collect(),
        leaving: announcement.leaving,
        load: Some(proto_load(load)),
        capacity: Some(announcement.capacity.into()),
        age_ms: u64::try_from(state.now().since(member.last_report).as_millis())
            .unwrap_or(u64::MAX),
        ejected: id.is_some_and(|id| routes.is_ejected(id)),
    }
}

fn proto_load(load: route::Load) -> proto::Load {
    proto::Load {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        service_us: load.service_us,
        disturbance_milli: load.disturbance_milli,
        batch_room: None,
        watchers: 0,
    }
}

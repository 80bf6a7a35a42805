//! The state dump of an entry as JSON.

use crate::Settings;
use crate::state::State;
use serde::Serialize;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::{member, route};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The whole dump.
#[derive(Serialize)]
struct Dump {
    settings: Settings,
    exchanges: usize,
    connections: usize,
    requests_in_progress: u32,
    callers_in_progress: u32,
    watchers: u32,
    retries_left: u64,
    idle_connections: usize,
    entries: Vec<SocketAddr>,
    targets: Vec<Target>,
    config: serde_json::Value,
    evacuated_by_configuration: BTreeSet<Name>,
    batch: serde_json::Value,
    graphs: Option<serde_json::Value>,
}

/// One target in the dump.
#[derive(Serialize)]
struct Target {
    worker: Name,
    domain: Name,
    address: SocketAddr,
    kinds: Vec<Name>,
    boot: u64,
    incarnation: u64,
    sequence: u64,
    capacity: Bundle,
    load: route::Load,
    outstanding: u32,
    leaving: bool,
    ejected: bool,
    probing: bool,
    silent_ms: u128,
    expires_in_ms: u128,
}

/// Returns the state as JSON.
pub(super) fn write(state: &State) -> serde_json::Value {
    let shares = state.shares.borrow();
    let idle = |class| state.pool(class).idle();
    let dump = Dump {
        settings: state.settings.clone(),
        exchanges: state.gate.active(),
        connections: state.gate.connections(),
        requests_in_progress: shares.total(Class::Quick),
        callers_in_progress: shares.callers(Class::Quick),
        watchers: shares.total(Class::Watch),
        retries_left: state.retries.borrow().remaining(),
        idle_connections: idle(Class::Quick) + idle(Class::Watch),
        entries: state.directory.borrow().addresses().collect(),
        targets: targets(state),
        config: state.config.dump(),
        evacuated_by_configuration: state.evacuated.borrow().clone(),
        batch: state.batch.dump(),
        graphs: state.graphs.as_ref().map(|entry| entry.dump()),
    };
    serde_json::to_value(dump).unwrap_or_default()
}

fn targets(state: &State) -> Vec<Target> {
    let members = state.members.borrow();
    let mut targets: Vec<Target> = members.iter().map(|member| target(state, member)).collect();
    targets.sort_by(|a, b| a.worker.cmp(&b.worker));
    targets
}

fn target(state: &State, member: &member::Member) -> Target {
    let now = state.now();
    let routes = state.routes.borrow();
    let announcement = &member.announcement;
    let target = announcement.target.clone();
    let id = routes.find(&target.worker);
    Target {
        boot: announcement.boot,
        incarnation: announcement.incarnation,
        sequence: announcement.sequence,
        capacity: announcement.capacity,
        load: id.and_then(|id| routes.load(id)).unwrap_or_default(),
        outstanding: id.map_or(0, |id| routes.outstanding(id)),
        leaving: announcement.leaving,
        ejected: id.is_some_and(|id| routes.is_ejected(id)),
        probing: id.is_some_and(|id| routes.is_probing(id)),
        silent_ms: now.since(member.last_report).as_millis(),
        expires_in_ms: member.expires.remaining(now).as_millis(),
        worker: target.worker,
        domain: target.domain,
        address: target.address,
        kinds: target.kinds,
    }
}

//! `shallotflow targets`.

use crate::connect::{Peers, peers};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::{Value, json};
use shallotflow_wire::proto;
use std::collections::BTreeMap;

/// Arguments of `targets`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(peers))]
    peers: Peers,
    /// Only targets of this kind of work
    #[bpaf(argument("KIND"), fallback(String::new()))]
    kind: String,
}

/// Lists targets; if several entries know a target, the most recent report is shown.
///
/// # Errors
///
/// Fails if an entry does not respond.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let request = proto::TargetsRequest { kind: arguments.kind };
    let responses = arguments
        .peers
        .call_each(async |mut client| client.list_targets(request.clone()).await)
        .await?;
    let mut newest: BTreeMap<String, proto::Target> = BTreeMap::new();
    for target in responses.into_iter().flat_map(|response| response.targets) {
        let known_age_ms = newest.get(&target.worker).map(|known| known.age_ms);
        if known_age_ms.is_none_or(|age_ms| target.age_ms < age_ms) {
            newest.insert(target.worker.clone(), target);
        }
    }
    let rows = newest.values().map(row).collect();
    let columns = ["WORKER", "DOMAIN", "ADDRESS", "KINDS", "STATE", "RUNNING", "QUEUED", "AGE"];
    let json = newest.values().map(to_json).collect();
    Ok(Output::table(&columns, rows, "no targets", json))
}

fn state(target: &proto::Target) -> &'static str {
    match (target.leaving, target.ejected) {
        (true, _) => "leaving",
        (false, true) => "set aside",
        (false, false) => "live",
    }
}

fn row(target: &proto::Target) -> Vec<String> {
    let load = target.load.unwrap_or_default();
    vec![
        target.worker.clone(),
        target.domain.clone(),
        target.address.clone(),
        target.kinds.join(","),
        state(target).to_owned(),
        format!("{}/{}", load.running, load.slots),
        load.queued.to_string(),
        format!("{}ms", target.age_ms),
    ]
}

fn to_json(target: &proto::Target) -> Value {
    let load = target.load.unwrap_or_default();
    json!({
        "worker": target.worker,
        "domain": target.domain,
        "address": target.address,
        "kinds": target.kinds,
        "state": state(target),
        "running": load.running,
        "queued": load.queued,
        "slots": load.slots,
        "service_us": load.service_us,
        "disturbance_milli": load.disturbance_milli,
        "watchers": load.watchers,
        "age_ms": target.age_ms,
    })
}

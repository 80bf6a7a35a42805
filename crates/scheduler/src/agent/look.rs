//! The loop that polls the worker, renews leases and sets paces.
//!
//! The module keeps its name: log filters and the field `target` of log lines contain its path.

use super::pace::Service;
use super::run_table::{ActiveRun, Key};
use super::{Agent, Error, Poll, order};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::message::{Incarnation, Status};
use shallotflow_runtime::clock::Boottime;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Polls the worker until the process ends; each poll waits a bounded time for a run to end.
pub(super) async fn run(agent: Rc<Agent>) {
    loop {
        match poll(&agent).await {
            Ok(()) => set_paces(&agent),
            Err(error) => {
                let state = |agent: &Agent| {
                    let table = agent.run_table.borrow();
                    (table.is_silent(), table.is_vacant())
                };
                let before = state(&agent);
                agent.run_table.borrow_mut().poll_failed(&error, Boottime.now());
                if state(&agent) != before {
                    metrics::counter!(shallotflow_core::metric::WORKER_LOST).increment(1);
                    spdlog::warn!("worker lost", kv: { reason = error.to_string() });
                    agent.report_due.notify(usize::MAX);
                }
                monoio::time::sleep(agent.settings.poll_pause).await;
            }
        }
    }
}

async fn poll(agent: &Rc<Agent>) -> Result<(), Error> {
    let sent = Boottime.now();
    let (poll, epoch, busy, complete, silent, registered, hid_runs) = {
        let mut table = agent.run_table.borrow_mut();
        let hid_runs = agent.hid_runs.get();
        let poll = table.next_poll(sent);
        let (busy, complete) = (table.is_busy(), table.is_complete());
        let (silent, registered) = (table.is_silent(), table.registered());
        (poll, table.epoch(), busy, complete, silent, registered, hid_runs)
    };
    let Poll { incarnation, checks_claim, lease_ms: lease, recorded, fence } = poll;
    let wait = match (complete && !checks_claim, busy) {
        // The owner waits for the lists, or the agent needs the worker's clock before it can grant
        // a lease.
        (false, _) => std::time::Duration::ZERO,
        (true, true) => agent.settings.poll_wait,
        (true, false) => agent.settings.idle_wait,
    };
    let wait = if lease.is_none() { wait.min(agent.settings.poll_wait) } else { wait };
    let limit = wait + agent.settings.call_limit;
    let call = agent.control.poll(incarnation.as_ref(), lease, recorded, fence, wait, limit);
    let lists = monoio::select! {
        lists = call => lists,
        // The poll in flight does not reflect orders that were executed since it was sent.
        () = wait_for_poll_due(agent, wait) => return Ok(()),
    };
    if checks_claim && matches!(lists, Err(Error::OtherIncarnation)) {
        log_refuted(agent.run_table.borrow_mut().refute_claim(), registered.as_ref());
        return Ok(());
    }
    let lists = lists?;
    if checks_claim && incarnation.as_ref() != Some(&lists.incarnation) {
        log_refuted(incarnation, registered.as_ref());
    }
    let (report_due, answered_early) = {
        let mut table = agent.run_table.borrow_mut();
        let now = Boottime.now();
        let known = table.listed_ends();
        table.apply_lists(lists, epoch, sent, now);
        let ends = table.listed_ends() > known;
        let answered_early = !ends && now.since(sent) < wait / 2;
        let present = table.registered();
        let changed = present.is_some() && present != registered;
        let hides_runs = table.hides_runs(now);
        if hides_runs && !hid_runs {
            metrics::counter!(shallotflow_core::metric::WORKER_LOST).increment(1);
            let reason =
                "rows that cannot be read hide what became of its runs; its leases are left to end";
            spdlog::warn!("worker lost", kv: { reason });
        }
        if changed {
            crate::log::decision("worker registered", &present);
        }
        agent.hid_runs.set(hides_runs);
        (ends || !complete || silent || changed || hides_runs != hid_runs, answered_early)
    };
    order::prevent_late_starts(agent);
    if silent {
        spdlog::info!("worker regained");
    }
    if report_due {
        agent.report_due.notify(usize::MAX);
    }
    if answered_early {
        // The worker holds no answer back while it lists ends that are not recorded yet.
        monoio::select! {
            () = wait_for_poll_due(agent, wait) => {}
            () = monoio::time::sleep(agent.settings.relist_pause) => {}
        }
    }
    if !complete && epoch == 0 {
        // Without an owner nothing needs the lists soon.
        monoio::select! {
            () = wait_for_poll_due(agent, agent.settings.idle_wait) => {}
            () = monoio::time::sleep(agent.settings.poll_pause) => {}
        }
    }
    Ok(())
}

/// Logs that the worker does not run as the incarnation that a registration has claimed.
fn log_refuted(claimed: Option<Incarnation>, registered: Option<&(Incarnation, Status, Bundle)>) {
    crate::log::decision("heartbeat refuted", &(claimed, registered));
}

async fn wait_for_poll_due(agent: &Rc<Agent>, wait: std::time::Duration) {
    if wait.is_zero() {
        return std::future::pending().await;
    }
    agent.poll_due.listen().await;
}

/// Sets the paces of best-effort tasks to what the services beside them allow.
pub(super) fn set_paces(agent: &Rc<Agent>) {
    let table = agent.run_table.borrow();
    let image = |active: &ActiveRun| active.traits.image.clone().unwrap_or_else(|| Name::from(""));
    let mut services = Vec::new();
    let mut best_effort: BTreeMap<Name, f64> = BTreeMap::new();
    for active in table.running().values() {
        let target_ms = active.traits.target_ms;
        if active.traits.best_effort {
            let share = f64::from(active.traits.millicores) / f64::from(table.millicores());
            *best_effort.entry(image(active)).or_default() += share;
        } else if target_ms > 0 && active.run.percent == 100 {
            services.push(Service {
                image: image(active),
                tail_ms: active.run.measurement,
                target_ms,
            });
        }
    }
    let mut controller = agent.controller.borrow_mut();
    let paces = controller.decide(&services, &best_effort, table.rates(), Boottime.now());
    let change = |(key, active): (&Key, &ActiveRun)| {
        let percent = paces.get(&image(active)).copied().unwrap_or(100);
        (active.traits.best_effort && active.run.pace != percent).then_some((*key, percent))
    };
    let changed: Vec<(Key, u8)> = table.running().iter().filter_map(change).collect();
    let (incarnation, fence) = (table.incarnation().cloned(), table.fence());
    drop(table);
    let Some(incarnation) = incarnation else { return };
    if !changed.is_empty() {
        let worst =
            services.iter().max_by_key(|service| service.tail_ms * 100 / service.target_ms.max(1));
        let (tail_ms, target_ms) =
            worst.map(|service| (service.tail_ms, service.target_ms)).unwrap_or_default();
        let details = serde_json::json!({
            "paces": paces, "runs": changed.len(), "tail_ms": tail_ms, "target_ms": target_ms,
        });
        metrics::counter!(shallotflow_core::metric::PACES).increment(1);
        crate::log::decision("pace", &details);
    }
    for (key, percent) in changed {
        agent.run_table.borrow_mut().set_pace(key, percent);
        let (agent, incarnation) = (agent.clone(), incarnation.clone());
        monoio::spawn(async move {
            let (task, run) = key;
            let limit = agent.settings.call_limit;
            let set = agent.control.pace(&incarnation, task, run, percent, fence, limit).await;
            if let Err(error) = set {
                // The next poll finds that the pace is not set and sets it again.
                spdlog::debug!("pace not set", kv: { reason = error.to_string() });
                agent.run_table.borrow_mut().set_pace(key, u8::MAX);
            }
        });
    }
}

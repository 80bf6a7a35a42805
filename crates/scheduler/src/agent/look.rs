//! The loop that looks at the worker, renews leases and sets paces.

use super::desk::{Held, Key};
use super::pace::{Controller, Served};
use super::{Agent, Error};
use shallotflow_core::name::Name;
use shallotflow_core::time::Clock;
use shallotflow_runtime::clock::Boottime;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Looks at the worker for ever; each look waits for an end for a while.
pub(super) async fn follow(agent: Rc<Agent>) {
    let mut pace = Controller::default();
    loop {
        match look(&agent).await {
            Ok(()) => set_paces(&agent, &mut pace),
            Err(error) => {
                let state = |agent: &Agent| {
                    let desk = agent.desk.borrow();
                    (desk.is_silent(), desk.is_vacant())
                };
                let before = state(&agent);
                agent.desk.borrow_mut().look_failed(&error);
                if state(&agent) != before {
                    metrics::counter!(shallotflow_core::metric::WORKER_LOST).increment(1);
                    spdlog::warn!("worker lost", kv: { reason = error.to_string() });
                    agent.news.notify(usize::MAX);
                }
                monoio::time::sleep(agent.settings.look_pause).await;
            }
        }
    }
}

async fn look(agent: &Rc<Agent>) -> Result<(), Error> {
    let sent = Boottime.now();
    let (lifetime, lease, recorded, epoch, busy, complete, silent) = {
        let mut desk = agent.desk.borrow_mut();
        let lease = desk.lease_ms(sent);
        let lifetime = desk.lifetime().cloned();
        let complete = desk.is_complete();
        let busy = desk.is_busy();
        (lifetime, lease, desk.recorded(), desk.epoch(), busy, complete, desk.is_silent())
    };
    let wait = match (complete, busy) {
        // The owner waits for the lists, or a lease has no clock to count on yet.
        (false, _) => std::time::Duration::ZERO,
        (true, true) => agent.settings.look_wait,
        (true, false) => agent.settings.idle_wait,
    };
    let wait = if lease.is_none() { wait.min(agent.settings.look_wait) } else { wait };
    let limit = wait + agent.settings.call_limit;
    let looking = agent.control.poll(lifetime.as_ref(), lease, recorded, epoch, wait, limit);
    let lists = monoio::select! {
        lists = looking => lists?,
        // Something was ordered meanwhile; a look that is under way would miss it.
        () = attention(agent, wait) => return Ok(()),
    };
    let news = {
        let mut desk = agent.desk.borrow_mut();
        let ends = lists.ends.iter().any(|end| end.number > recorded);
        desk.looked(lists, epoch, sent, Boottime.now());
        ends || !complete || silent
    };
    if silent {
        spdlog::info!("worker regained");
    }
    if news {
        agent.news.notify(usize::MAX);
    }
    if !complete && epoch == 0 {
        // Without an owner there is nothing to hurry for.
        monoio::select! {
            () = attention(agent, agent.settings.idle_wait) => {}
            () = monoio::time::sleep(agent.settings.look_pause) => {}
        }
    }
    Ok(())
}

async fn attention(agent: &Rc<Agent>, wait: std::time::Duration) {
    if wait.is_zero() {
        return std::future::pending().await;
    }
    agent.attention.listen().await;
}

/// Lets tasks that fill work as fast as the tasks beside them allow.
fn set_paces(agent: &Rc<Agent>, controller: &mut Controller) {
    let desk = agent.desk.borrow();
    let image = |held: &Held| held.traits.image.clone().unwrap_or_else(|| Name::from(""));
    let mut served = Vec::new();
    let mut fills: BTreeMap<Name, f64> = BTreeMap::new();
    for held in desk.running().values() {
        let target_ms = held.traits.target_ms;
        if held.traits.best_effort {
            let share = f64::from(held.traits.millicores) / f64::from(desk.millicores());
            *fills.entry(image(held)).or_default() += share;
        } else if target_ms > 0 && held.run.percent == 100 {
            served.push(Served { image: image(held), tail_ms: held.run.measurement, target_ms });
        }
    }
    let paces = controller.decide(&served, &fills, desk.rates(), Boottime.now());
    let change = |(key, held): (&Key, &Held)| {
        let percent = paces.get(&image(held)).copied().unwrap_or(100);
        (held.traits.best_effort && held.run.pace != percent).then_some((*key, percent))
    };
    let changed: Vec<(Key, u8)> = desk.running().iter().filter_map(change).collect();
    let (lifetime, epoch) = (desk.lifetime().cloned(), desk.epoch());
    drop(desk);
    let Some(lifetime) = lifetime else { return };
    if !changed.is_empty() {
        let worst = served.iter().max_by_key(|own| own.tail_ms * 100 / own.target_ms.max(1));
        let (tail_ms, target_ms) =
            worst.map(|own| (own.tail_ms, own.target_ms)).unwrap_or_default();
        let details = serde_json::json!({
            "paces": paces, "runs": changed.len(), "tail_ms": tail_ms, "target_ms": target_ms,
        });
        metrics::counter!(shallotflow_core::metric::PACES).increment(1);
        crate::log::decision("pace", &details);
    }
    for (key, percent) in changed {
        agent.desk.borrow_mut().set_pace(key, percent);
        let (agent, lifetime) = (agent.clone(), lifetime.clone());
        monoio::spawn(async move {
            let (task, run) = key;
            let limit = agent.settings.call_limit;
            let set = agent.control.pace(&lifetime, task, run, percent, epoch, limit).await;
            if let Err(error) = set {
                // The next look sees the pace as not set and sets it again.
                spdlog::debug!("pace not set", kv: { reason = error.to_string() });
                agent.desk.borrow_mut().set_pace(key, u8::MAX);
            }
        });
    }
}

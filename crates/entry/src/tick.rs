//! Periodic work on the tables.

use crate::meters::Levels;
use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_policy::outlier::Change;
use std::rc::Rc;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const TICKS_PER_UPDATE: u64 = 20;

/// Runs the periodic work until the future is dropped.
pub async fn run(state: Rc<State>) {
    for number in 1_u64.. {
        monoio::time::sleep(TICK_INTERVAL).await;
        remove_silent_targets(&state);
        update_ejections(&state);
        update_evacuations(&state);
        if number.is_multiple_of(TICKS_PER_UPDATE) {
            apply_config(&state);
            update_gauges(&state);
        }
    }
}

/// Removes targets that have not reported for too long.
fn remove_silent_targets(state: &State) {
    let silent = state.members.borrow_mut().expire(state.now());
    let mut routes = state.routes.borrow_mut();
    for worker in silent {
        let Some(id) = routes.find(&worker) else { continue };
        if let Some(target) = routes.target(id) {
            state.close_idle(target.address);
        }
        routes.remove(id);
        spdlog::warn!("target expired", kv: { worker = &*worker });
    }
}

/// Ejects outliers, puts them on probation and restores them.
pub(crate) fn update_ejections(state: &State) {
    let mut routes = state.routes.borrow_mut();
    let changes = state.outliers.borrow_mut().tick(state.now(), &mut routes);
    for change in changes {
        let (Change::Ejected(id, ..) | Change::OnProbation(id) | Change::Restored(id)) = change;
        let Some(target) = routes.target(id) else { continue };
        let worker = &*target.worker;
        match change {
            Change::Ejected(_, cause, until) => {
                let (cause, until) = (cause.as_str(), until.to_string());
                state.close_idle(target.address);
                state.meters.borrow().ejected(cause);
                spdlog::warn!("target set aside", kv: { worker, cause, until });
            }
            Change::OnProbation(_) => spdlog::info!("target on probation", kv: { worker }),
            Change::Restored(_) => spdlog::info!("target taken back", kv: { worker }),
        }
    }
}

/// Passes the failure domains that the fleet configuration evacuates on to the graph scheduler.
///
/// Exceptions expire without a change of the configuration, so that the set is derived anew each time.
pub(crate) fn update_evacuations(state: &State) {
    let evacuated = state.config.evacuated_domains();
    if *state.evacuated.borrow() == evacuated {
        return;
    }
    let names: Vec<&str> = evacuated.iter().map(|domain| &**domain).collect();
    let (domains, revision) = (names.join(","), state.config.revision());
    spdlog::info!("evacuated by configuration", kv: { domains = domains.as_str(), revision });
    if let Some(graphs) = &state.graphs {
        graphs.set_evacuated_by_configuration(evacuated.clone());
    }
    *state.evacuated.borrow_mut() = evacuated;
}

/// Applies the retry budget of the fleet configuration.
fn apply_config(state: &State) {
    if state.config.revision() > 0 {
        state.retries.borrow_mut().set_share(state.values("", "").retry_budget);
    }
}

fn update_gauges(state: &State) {
    let routes = state.routes.borrow();
    let levels = Levels {
        eligible: routes.eligible(),
        leaving: routes.leaving(),
        ejected: routes.ejected(),
        watchers: state.shares.borrow().total(Class::Watch),
        retries: state.retries.borrow().remaining(),
    };
    state.meters.borrow_mut().update(&levels, |kind| routes.members(kind) > 0);
}

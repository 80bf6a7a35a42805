//! Executes the commands of the colocation controller.

use crate::agent::Agent;
use crate::batch;
use shallotflow_core::metric;
use shallotflow_core::task::Key;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_policy::evict::Command;
use shallotflow_wire::control::Throttle;
use spdlog::{info, warn};

/// Evaluates the pressure on quick requests once; throttles or evicts batch tasks.
pub(crate) fn control(agent: &Agent) {
    let now = Monotonic.now();
    let mut state = agent.state_mut();
    state.record_load(now);
    let pressure = state.pressure(now);
    let candidates = state.candidates(now);
    let commands = state.colocation.controller.tick(&pressure, &candidates, now);
    for command in &commands {
        match command {
            Command::Throttle(key, share_milli) => state.colocation.set_share(key, *share_milli),
            Command::Evict(key) => state.leases.mark_stopping(key),
        }
    }
    drop(state);
    for command in commands {
        match command {
            Command::Throttle(key, share_milli) => {
                metrics::counter!(metric::THROTTLES).increment(1);
                monoio::spawn(throttle(agent.clone(), key, share_milli));
            }
            Command::Evict(key) => {
                info!("evicting a batch task", kv: { task = key.to_string(), pressure:? });
                metrics::counter!(metric::EVICTIONS).increment(1);
                monoio::spawn(batch::stop(agent.clone(), key, true));
            }
        }
    }
}

async fn throttle(agent: Agent, key: Key, share_milli: u32) {
    let call = Throttle { incarnation: agent.incarnation(), key: key.clone(), share_milli };
    let Err(error) = agent.control().throttle(call).await else { return };
    warn!("a throttle failed", kv: { task = key.to_string(), error = error.to_string() });
    // The worker's share is now unknown; a share of 0 makes the next tick set it again.
    let mut state = agent.state_mut();
    if state.colocation.share_milli(&key) == share_milli {
        state.colocation.set_share(&key, 0);
    }
}

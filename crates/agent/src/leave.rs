//! Graceful stop: no new work, then wait for what is in progress.

use crate::agent::Agent;
use crate::batch;
use shallotflow_core::task::Key;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_scheduler::agent::Agent as Orders;
use shallotflow_wire::http::gate::Gate;
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The longest wait for entries to close their idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Leaves once `stop` is raised; ends at once when it is raised again.
pub(crate) async fn leave(agent: Agent, stop: Stop, gate: Gate, graphs: Option<Rc<Orders>>) {
    stop.wait(Level::Graceful).await;
    if stop.level() == Level::Immediate {
        return;
    }
    if let Some(graphs) = graphs {
        // Tasks of graphs go on; their leases end unless the agent is back in time.
        graphs.stop();
    }
    let finishing = async {
        let drain = agent.settings().drain;
        if monoio::time::timeout(drain, finish(&agent)).await.is_err() {
            warn!("work is still in progress at the end of the drain", kv: { drain_s = drain.as_secs() });
        }
        gate.drain();
        // A connection that stays open carries no request any more.
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, gate.wait_closed()).await;
    };
    monoio::select! {
        () = stop.wait(Level::Immediate) => {}
        () = finishing => info!("left"),
    }
}

/// Refuses new work, evicts batch work and waits for the rest to end.
async fn finish(agent: &Agent) {
    info!("leaving");
    agent.state_mut().leave();
    agent.tick();
    agent.wake_all();
    loop {
        evict(agent);
        if agent.state().is_idle() {
            return;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checkpoints and stops every batch task that is not being stopped already.
pub(crate) fn evict(agent: &Agent) {
    let mut state = agent.state_mut();
    let running = state.leases.tasks().filter(|(_, task)| task.may_run() && !task.stopping);
    let running: Vec<Key> = running.map(|(key, _)| key.clone()).collect();
    for key in &running {
        state.leases.mark_stopping(key);
    }
    drop(state);
    for key in running {
        monoio::spawn(batch::stop(agent.clone(), key, true));
    }
}

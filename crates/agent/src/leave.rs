//! Graceful stop: refuses new work, then waits for the work in progress.

use crate::agent::Agent;
use crate::batch;
use shallotflow_core::task::Key;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_scheduler::agent::Agent as GraphAgent;
use shallotflow_wire::http::gate::Gate;
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Limit on the wait for entries to close their idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Drains the agent once `stop` is raised; returns at once when it is raised again.
pub(crate) async fn leave(agent: Agent, stop: Stop, gate: Gate, graphs: Option<Rc<GraphAgent>>) {
    stop.wait(Level::Graceful).await;
    if stop.level() == Level::Immediate {
        return;
    }
    if let Some(graphs) = graphs {
        // Graph tasks keep running; their leases expire unless the agent restarts in time.
        graphs.stop();
    }
    let finishing = async {
        let drain = agent.settings().drain;
        if monoio::time::timeout(drain, finish(&agent)).await.is_err() {
            warn!("work is still in progress at the end of the drain", kv: { drain_s = drain.as_secs() });
        }
        gate.drain();
        // A connection that is still open after the timeout carries no request.
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, gate.wait_closed()).await;
    };
    monoio::select! {
        () = stop.wait(Level::Immediate) => {}
        () = finishing => info!("left"),
    }
}

/// Refuses new work, evicts batch tasks and waits for the remaining work to end.
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

/// Checkpoints and stops every batch task that is not already stopping.
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

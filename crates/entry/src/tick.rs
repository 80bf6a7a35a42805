//! The systems that run over the tables each tick.

use crate::state::State;
use std::rc::Rc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);

/// Runs the systems until the future is dropped.
pub async fn run(state: Rc<State>) {
    loop {
        monoio::time::sleep(TICK).await;
        expire(&state);
    }
}

/// Drops targets that have been silent for too long.
fn expire(state: &State) {
    let silent = state.members.borrow_mut().expire(state.now());
    let mut routes = state.routes.borrow_mut();
    for worker in silent {
        let Some(id) = routes.find(&worker) else { continue };
        if let Some(target) = routes.target(id) {
            state.pool.forget(target.address);
        }
        routes.remove(id);
        spdlog::warn!("target expired", kv: { worker = &*worker });
    }
}

use super::{Client, Describe};
use crate::agent::Agent;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two questions to the worker what it is; as often as a worker's own reports would
/// come.
const INTERVAL: Duration = Duration::from_millis(500);
/// Limit of one question; some hundred times its usual time.
const LIMIT: Duration = Duration::from_millis(350);

/// Tells `agent` what its worker says of itself, for ever.
///
/// That a worker does not answer shows in the agent's own looks, so it is only logged here.
pub async fn follow(agent: Rc<Agent>, worker: Rc<Client>) {
    let mut registration = 0;
    loop {
        match worker.call(&Describe {}, LIMIT).await {
            Ok(profile) => {
                registration += 1;
                agent.register(profile, registration);
            }
            Err(error) => {
                spdlog::debug!("worker not described", kv: { reason = error.to_string() });
            }
        }
        monoio::time::sleep(INTERVAL).await;
    }
}

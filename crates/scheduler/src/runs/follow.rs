use super::{Client, Describe};
use crate::agent::Agent;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two requests of the profile; as often as a worker's own reports would arrive.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request; some hundred times its usual duration.
const TIMEOUT: Duration = Duration::from_millis(350);

/// Registers the worker's profile with `agent` until the process ends.
///
/// A failed request is only logged here: the agent's own polls show that a worker does not answer.
pub async fn follow(agent: Rc<Agent>, worker: Rc<Client>) {
    let mut registration = 0;
    loop {
        match worker.call(&Describe {}, TIMEOUT).await {
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

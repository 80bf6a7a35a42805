use super::{Client, Describe};
use crate::agent::Agent;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::Profile;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two requests of the profile; as often as a worker's own reports would arrive.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request; some hundred times its usual duration.
const TIMEOUT: Duration = Duration::from_millis(350);

/// Registers the worker's profile with `agent` until the process ends; `failure_domain` is that of
/// the agent and its worker.
///
/// A failed request is only logged here: the agent's own polls show that a worker does not answer.
pub async fn follow(agent: Rc<Agent>, worker: Rc<Client>, failure_domain: Name) {
    let mut registration = 0;
    loop {
        match worker.call(&Describe {}, TIMEOUT).await {
            Ok(described) => {
                registration += 1;
                let profile = Profile { failure_domain: failure_domain.clone(), ..described };
                agent.register(profile, registration);
            }
            Err(error) => {
                spdlog::debug!("worker not described", kv: { reason = error.to_string() });
            }
        }
        monoio::time::sleep(INTERVAL).await;
    }
}

//! Attaches to the worker and follows the list of its tasks and requests.

use super::{Attachment, Error, Result};
use crate::agent::Agent;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_wire::control::{Attach, Fault, List};
use spdlog::{info, warn};
use std::time::Duration;

const RETRY_PAUSE: Duration = Duration::from_millis(50);
const LIST_WAIT_MS: u64 = 1_000;
/// Wait of a list call while the end of a failed exchange is unconfirmed.
const UNCONFIRMED_WAIT_MS: u64 = 20;

/// Follows the worker until a newer agent attaches to it.
///
/// # Errors
///
/// [`Fault::Incarnation`] once a newer agent has attached.
pub(crate) async fn watch(agent: Agent) -> Result<()> {
    loop {
        let Err(error) = follow(&agent).await else { continue };
        if agent.is_fenced_by(&error) {
            agent.detach();
            return Err(error);
        }
        warn!("lost the worker; attaching again", kv: { error = error.to_string() });
        if matches!(error, Error::Refused(_)) {
            agent.detach();
        }
        monoio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Attaches if needed, then follows the worker's list until a call fails.
async fn follow(agent: &Agent) -> Result<()> {
    if !agent.is_attached() {
        attach(agent).await?;
    }
    let mut version = 0;
    loop {
        let asked = Monotonic.now();
        let wait_ms = if agent.has_unconfirmed() { UNCONFIRMED_WAIT_MS } else { LIST_WAIT_MS };
        let call = List { incarnation: agent.incarnation(), after: version, wait_ms };
        let list_requested = agent.list_requested();
        let listed = monoio::select! {
            listed = agent.control().list(call) => listed?,
            // The end of a failed exchange must be confirmed before the list changes.
            () = list_requested => continue,
        };
        version = listed.version;
        agent.observe(&listed, asked);
    }
}

async fn attach(agent: &Agent) -> Result<()> {
    let call = Attach { incarnation: agent.incarnation() };
    let attached = agent.control().attach(call).await?;
    let attachment = Attachment::new(&attached, Monotonic.now());
    info!("attached to the worker", kv: { boot = attached.boot, tasks = attached.held.tasks.len() });
    agent.attach(attachment, &attached);
    Ok(())
}

impl Agent {
    /// Whether `error` means that a newer agent has attached to the worker.
    pub(crate) fn is_fenced_by(&self, error: &Error) -> bool {
        matches!(error, Error::Refused(Fault::Incarnation { attached, .. })
            if *attached > self.incarnation())
    }
}

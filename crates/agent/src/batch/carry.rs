//! Executes the commands of the lease table by calls to the worker.
//!
//! The module keeps its name: log filters and the field `target` of log lines contain its path.

use crate::agent::Agent;
use crate::worker::Error;
use shallotflow_core::task::Key;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::lease::{Command, Task};
use shallotflow_wire::control::{Acknowledge, Fault, Lease, Renew, Start, Stop};
use spdlog::warn;
use std::time::Duration;

const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Executes commands of the lease table; renewals and acknowledgements are sent in one call each.
pub(crate) fn execute(agent: &Agent, commands: Vec<Command>) {
    let now = Monotonic.now();
    let mut renewed = Vec::new();
    let mut acknowledged = Vec::new();
    for command in commands {
        match command {
            Command::Offer(key) => agent.state_mut().offer_task(&key, now),
            Command::Withdraw(key) => agent.state_mut().withdraw_task(&key),
            Command::Renew(key, deadline) => renewed.push((key, deadline)),
            Command::Acknowledge(key) => acknowledged.push(key),
            Command::Checkpoint(key) => {
                monoio::spawn(stop(agent.clone(), key, true));
            }
            Command::Stop(key) => {
                monoio::spawn(stop(agent.clone(), key, false));
            }
        }
    }
    if !renewed.is_empty() {
        monoio::spawn(renew(agent.clone(), renewed));
    }
    if !acknowledged.is_empty() {
        monoio::spawn(acknowledge(agent.clone(), acknowledged));
    }
}

/// Starts an admitted task at the worker.
///
/// A start whose answer was lost is retried until the worker answers or the lease expires; starts
/// are idempotent by key.
pub(crate) async fn start(agent: Agent, key: Key) {
    while let Some(call) = prepare(&agent, &key) {
        match agent.control().start(call).await {
            Ok(_) => return,
            Err(Error::Refused(fault)) => return handle_refusal(&agent, &key, &fault),
            Err(error) => {
                warn!("a start was not answered", kv: { task = key.to_string(), error = error.to_string() });
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Marks the task as sent and returns the call; `None` when it must not start or has started.
fn prepare(agent: &Agent, key: &Key) -> Option<Start> {
    let mut state = agent.state_mut();
    let attachment = state.attachment.clone();
    let Some(attachment) = attachment.filter(|_| state.leases.mark_sent(key, Monotonic.now()))
    else {
        refuse_unsent(&mut state, key);
        return None;
    };
    let resources = state.reserved(key);
    let task = state.leases.get(key)?;
    let grant = &task.grant;
    Some(Start {
        incarnation: agent.incarnation(),
        key: key.clone(),
        epoch: grant.epoch,
        kind: grant.kind.clone(),
        resources: resources.unwrap_or(grant.resources),
        idempotent: grant.idempotent,
        checkpoint: grant.checkpoint.clone(),
        payload: grant.payload.clone(),
        deadline_us: attachment.to_worker(task.deadline).as_micros(),
    })
}

/// Refuses a task that was admitted but not sent; for one that was sent the worker's list decides.
fn refuse_unsent(state: &mut crate::state::State, key: &Key) {
    let sent = state.leases.get(key).is_some_and(|task| task.sent);
    if !sent {
        state.leases.refuse(key, "the worker was not attached, or the lease had passed");
        state.release_task(key);
    }
}

/// Handles the worker's refusal of a start: the task was not started and is not held there.
fn handle_refusal(agent: &Agent, key: &Key, fault: &Fault) {
    // After a refusal because of the incarnation, an earlier unanswered start may have succeeded.
    if !matches!(fault, Fault::Incarnation { .. }) {
        let mut state = agent.state_mut();
        state.leases.refuse(key, &fault.to_string());
        state.release_task(key);
        drop(state);
        agent.wake_owner(key.ledger);
    }
}

/// Stops a task, after a checkpoint if requested; retries until the worker confirms the stop.
pub(crate) async fn stop(agent: Agent, key: Key, checkpoint: bool) {
    while agent.state().leases.get(&key).is_some_and(Task::may_run) {
        let incarnation = agent.incarnation();
        let call = Stop { incarnation, key: key.clone(), checkpoint };
        match agent.control().stop(call).await {
            // The worker's list shows how it ended.
            Ok(_) => return,
            Err(Error::Refused(Fault::UnknownTask { .. })) => return,
            Err(error) => {
                warn!("a stop failed", kv: { task = key.to_string(), error = error.to_string() });
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn renew(agent: Agent, renewed: Vec<(Key, Time)>) {
    let Some(attachment) = agent.state().attachment.clone() else { return };
    let lease = |(key, deadline): (Key, Time)| Lease {
        key,
        deadline_us: attachment.to_worker(deadline).as_micros(),
    };
    let leases = renewed.into_iter().map(lease).collect();
    let call = Renew { incarnation: agent.incarnation(), leases };
    if let Err(error) = agent.control().renew(call).await {
        // The reply to the next report renews them again.
        warn!("a renewal failed", kv: { error = error.to_string() });
        agent.request_list();
    }
}

async fn acknowledge(agent: Agent, keys: Vec<Key>) {
    let call = Acknowledge { incarnation: agent.incarnation(), keys };
    if let Err(error) = agent.control().acknowledge(call).await {
        warn!("an acknowledgement failed", kv: { error = error.to_string() });
    }
}

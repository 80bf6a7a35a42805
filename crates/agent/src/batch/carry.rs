//! Calls the worker for the lease table.

use crate::agent::Agent;
use crate::worker::Error;
use shallotflow_core::task::Key;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_policy::lease::{Command, Task};
use shallotflow_wire::control::{Acknowledge, Fault, Lease, Renew, Start, Stop};
use spdlog::warn;
use std::time::Duration;

const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Carries out commands of the lease table; calls to the worker are grouped.
pub(crate) fn carry_out(agent: &Agent, commands: Vec<Command>) {
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
/// A start whose answer was lost is sent again until the worker answers or the lease passes; the
/// worker starts a key once.
pub(crate) async fn start(agent: Agent, key: Key) {
    while let Some(call) = prepare(&agent, &key) {
        match agent.control().start(call).await {
            Ok(_) => return,
            Err(Error::Refused(fault)) => return refused(&agent, &key, &fault),
            Err(error) => {
                warn!("a start was not answered", kv: { task = key.to_string(), error = error.to_string() });
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Marks the task as sent; `None` when it must not start, or has started.
fn prepare(agent: &Agent, key: &Key) -> Option<Start> {
    let mut state = agent.state_mut();
    let attachment = state.attachment.clone();
    let Some(attachment) = attachment.filter(|_| state.leases.mark_sent(key, Monotonic.now()))
    else {
        give_up(&mut state, key);
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

/// Ends a task that was admitted and never sent; one that was sent is left to the worker's list.
fn give_up(state: &mut crate::state::State, key: &Key) {
    let sent = state.leases.get(key).is_some_and(|task| task.sent);
    if !sent {
        state.leases.refuse(key, "the worker was not attached, or the lease had passed");
        state.release_task(key);
    }
}

/// The worker says that it did not start the task and does not hold it.
fn refused(agent: &Agent, key: &Key, fault: &Fault) {
    // After a refusal by incarnation an earlier, unanswered start may still have been taken.
    if !matches!(fault, Fault::Incarnation { .. }) {
        let mut state = agent.state_mut();
        state.leases.refuse(key, &fault.to_string());
        state.release_task(key);
        drop(state);
        agent.wake_owner(key.ledger);
    }
}

/// Stops a task, after a checkpoint if asked for, until the worker confirms it.
pub(crate) async fn stop(agent: Agent, key: Key, checkpoint: bool) {
    while agent.state().leases.get(&key).is_some_and(Task::may_run) {
        let incarnation = agent.incarnation();
        let call = Stop { incarnation, key: key.clone(), checkpoint };
        match agent.control().stop(call).await {
            // The list tells how it ended.
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
        // The next report renews them again.
        warn!("a renewal failed", kv: { error = error.to_string() });
        agent.suspect();
    }
}

async fn acknowledge(agent: Agent, keys: Vec<Key>) {
    let call = Acknowledge { incarnation: agent.incarnation(), keys };
    if let Err(error) = agent.control().acknowledge(call).await {
        warn!("an acknowledgement failed", kv: { error = error.to_string() });
    }
}

//! Carries out the owner's orders.

use super::run_table::Key;
use super::{Agent, Error, Start, look};
use shallotflow_core::metric;
use shallotflow_core::time::{Clock, Time};
use shallotflow_policy::plan::message::{Incarnation, Kind, Order, Outcome};
use shallotflow_runtime::clock::Boottime;
use std::rc::Rc;

/// Executes `order`, which came with the reply to the report `sequence`, in the background; a later
/// report carries the answer.
pub(super) fn execute(agent: &Rc<Agent>, order: Order, epoch: u64, sequence: u64) {
    let agent = agent.clone();
    monoio::spawn(async move {
        let key = (order.task, order.run);
        match &order.kind {
            Kind::Start { .. } => start(&agent, &order, epoch, sequence).await,
            Kind::Stop => stop(&agent, key, epoch).await,
        }
        agent.report_due.notify(usize::MAX);
    });
}

async fn start(agent: &Rc<Agent>, order: &Order, epoch: u64, sequence: u64) {
    let Kind::Start { text, checkpoint, traits } = &order.kind else { return };
    let key = (order.task, order.run);
    let mut unanswered = false;
    for _ in 0..agent.settings.start_tries {
        let now = Boottime.now();
        let (ready, incarnation, lease, fence) = {
            let mut table = agent.run_table.borrow_mut();
            let ready = table.accepts_tasks()
                && table.epoch() == epoch
                && !table.is_outdated(sequence)
                && !table.is_withdrawn(&key);
            let ready = ready && !agent.stopping.get();
            (ready, table.incarnation().cloned(), table.lease_ms(now), table.fence())
        };
        let (true, Some(incarnation), Some(lease_ms)) = (ready, incarnation, lease) else { break };
        let start = Start {
            task: order.task,
            run: order.run,
            text: text.clone(),
            checkpoint: checkpoint.clone(),
            lease_ms,
            epoch,
        };
        let limit = agent.settings.start_limit;
        agent.run_table.borrow_mut().begin_start(key, now);
        let answer = agent.control.start(&incarnation, &start, fence, limit).await;
        let answered = Boottime.now();
        metrics::histogram!(metric::START_CALL).record(answered.since(now).as_secs_f64());
        let outcome = match answer {
            Ok(clock_ms) => {
                let is_confirmed = agent.run_table.borrow_mut().apply_start(
                    order,
                    traits.clone(),
                    clock_ms,
                    now,
                    answered,
                );
                if !is_confirmed {
                    let details = (order.task.to_string(), order.run, clock_ms);
                    crate::log::decision("start carried out by another incarnation", &details);
                    agent.poll_due.notify(usize::MAX);
                    return;
                }
                if traits.best_effort {
                    // A run starts at full speed; the next poll may take some hundred milliseconds.
                    look::set_paces(agent);
                }
                return;
            }
            Err(Error::Unknown(_)) => {
                agent.run_table.borrow_mut().mark_unanswered(key, Boottime.now());
                unanswered = true;
                continue;
            }
            // The worker answers again soon or its lease ends; another worker may be free now.
            Err(Error::Unreachable | Error::Vacant | Error::OtherIncarnation | Error::Fenced) => {
                Outcome::NotReady
            }
            Err(Error::Old) => Outcome::Old,
            Err(Error::Late) => Outcome::Late,
            Err(Error::NoRoom) => Outcome::NoRoom,
            Err(Error::Unhealthy) => Outcome::Unhealthy,
            Err(Error::Refused(reason)) => {
                spdlog::warn!("start refused", kv: { task = order.task.to_string(), reason });
                Outcome::Refused
            }
        };
        agent.run_table.borrow_mut().end_start(&key);
        if unanswered {
            break;
        }
        return agent.run_table.borrow_mut().push_answer(order.task, order.run, outcome);
    }
    if unanswered {
        // The run may have started, or may start later; only a confirmed stop settles that.
        return stop(agent, key, epoch).await;
    }
    agent.run_table.borrow_mut().push_answer(order.task, order.run, Outcome::NotReady);
}

/// Repeats the stop of a run until the worker confirms it; a later poll shows the run's end or its
/// absence.
async fn stop(agent: &Rc<Agent>, key: Key, epoch: u64) {
    if !agent.run_table.borrow_mut().begin_withdrawal(key, epoch) {
        return;
    }
    let (task, run) = key;
    let mut epoch = epoch;
    loop {
        let (incarnation, owner, fence) = {
            let table = agent.run_table.borrow();
            // A later owner may have ordered the stop as well.
            epoch = table.withdrawal_epoch(&key).unwrap_or(epoch);
            (table.incarnation().cloned(), table.epoch(), table.fence())
        };
        if owner != epoch {
            // A later owner decides anew from the lists.
            return agent.run_table.borrow_mut().end_withdrawal(key);
        }
        if let Some(incarnation) = incarnation {
            let limit = agent.settings.call_limit;
            match agent.control.stop(&incarnation, task, run, fence, limit).await {
                Ok(_) | Err(Error::Old | Error::Refused(_)) => {
                    agent.run_table.borrow_mut().confirm_stop(key, Boottime.now());
                    agent.poll_due.notify(usize::MAX);
                    return;
                }
                Err(Error::Fenced) => {
                    let mut table = agent.run_table.borrow_mut();
                    if table.fence() != fence {
                        // The worker has seen a later fence of this agent since the stop was sent.
                        continue;
                    }
                    if table.withdrawal_epoch(&key).is_none_or(|ordered| ordered <= epoch) {
                        return table.end_withdrawal(key);
                    }
                }
                Err(error) => {
                    spdlog::debug!("stop repeated", kv: { reason = error.to_string() });
                }
            }
        }
        monoio::time::sleep(agent.settings.poll_pause).await;
    }
}

/// Prevents the present incarnation of the worker from carrying out starts that a former one left
/// unanswered: their tasks may have ended or may run elsewhere.
pub(super) fn prevent_late_starts(agent: &Rc<Agent>) {
    let late_starts = agent.run_table.borrow_mut().take_late_starts();
    let Some(incarnation) = agent.run_table.borrow().incarnation().cloned() else { return };
    if !late_starts.is_empty() {
        let details = serde_json::json!({ "worker": incarnation, "starts": late_starts.len() });
        crate::log::decision("late starts prevented", &details);
    }
    for (key, until) in late_starts {
        let (agent, incarnation) = (agent.clone(), incarnation.clone());
        monoio::spawn(async move { prevent(&agent, key, &incarnation, until).await });
    }
}

/// Stops a run that must not start until the worker confirms it: a stopped run starts no more.
async fn prevent(agent: &Agent, (task, run): Key, incarnation: &Incarnation, until: Time) {
    let limit = agent.settings.call_limit;
    while !until.passed(Boottime.now()) {
        let fence = agent.run_table.borrow().fence();
        match agent.control.stop(incarnation, task, run, fence, limit).await {
            Ok(_) | Err(Error::Old | Error::Refused(_) | Error::OtherIncarnation) => return,
            Err(error) => {
                spdlog::debug!("stop repeated", kv: { reason = error.to_string() });
            }
        }
        let current = agent.run_table.borrow().incarnation().cloned();
        if current.as_ref() != Some(incarnation) {
            // The next incarnation has its own stops.
            return;
        }
        monoio::time::sleep(agent.settings.poll_pause).await;
    }
}

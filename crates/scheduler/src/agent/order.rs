//! Carries out the owner's orders.

use super::desk::Key;
use super::{Agent, Error, Start};
use shallotflow_core::metric;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::message::{Kind, Order, Outcome};
use shallotflow_runtime::clock::Boottime;
use std::rc::Rc;

/// Starts to carry out `order`; the answer goes into a later report.
pub(super) fn carry(agent: &Rc<Agent>, order: Order, epoch: u64) {
    let agent = agent.clone();
    monoio::spawn(async move {
        let key = (order.task, order.run);
        match &order.kind {
            Kind::Start { .. } => start(&agent, &order, epoch).await,
            Kind::Stop => stop(&agent, key, epoch).await,
        }
        agent.news.notify(usize::MAX);
    });
}

async fn start(agent: &Rc<Agent>, order: &Order, epoch: u64) {
    let Kind::Start { text, checkpoint, traits } = &order.kind else { return };
    let key = (order.task, order.run);
    let mut unanswered = false;
    for _ in 0..agent.settings.start_tries {
        let now = Boottime.now();
        let (ready, lifetime, lease) = {
            let mut desk = agent.desk.borrow_mut();
            let ready = desk.takes_tasks() && desk.epoch() == epoch && !desk.is_withdrawn(&key);
            (ready && !agent.stopping.get(), desk.lifetime().cloned(), desk.lease_ms(now))
        };
        let (true, Some(lifetime), Some(lease_ms)) = (ready, lifetime, lease) else { break };
        let start = Start {
            task: order.task,
            run: order.run,
            text: text.clone(),
            checkpoint: checkpoint.clone(),
            lease_ms,
            epoch,
        };
        let limit = agent.settings.start_limit;
        let answer = agent.control.start(&lifetime, &start, limit).await;
        let took = Boottime.now().since(now).as_secs_f64();
        metrics::histogram!(metric::START_CALL).record(took);
        let outcome = match answer {
            Ok(_) => {
                let mut desk = agent.desk.borrow_mut();
                return desk.started(order, traits.clone(), Boottime.now());
            }
            Err(Error::Unknown(_)) => {
                unanswered = true;
                continue;
            }
            // The worker answers again soon or its lease ends; another one may be free now.
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
        if unanswered {
            break;
        }
        return agent.desk.borrow_mut().answer(order.task, order.run, outcome);
    }
    if unanswered {
        // It may have started, or may start later; only a confirmed stop settles that.
        return stop(agent, key, epoch).await;
    }
    agent.desk.borrow_mut().answer(order.task, order.run, Outcome::NotReady);
}

/// Stops a run until the worker confirms it; its end or its absence shows in a later look.
async fn stop(agent: &Rc<Agent>, key: Key, epoch: u64) {
    if !agent.desk.borrow_mut().withdraw(key) {
        return;
    }
    let (task, run) = key;
    loop {
        let lifetime = agent.desk.borrow().lifetime().cloned();
        if agent.desk.borrow().epoch() != epoch {
            // A later owner decides anew from the lists.
            return agent.desk.borrow_mut().give_up_withdrawal(key);
        }
        if let Some(lifetime) = lifetime {
            let limit = agent.settings.call_limit;
            match agent.control.stop(&lifetime, task, run, epoch, limit).await {
                Ok(_) | Err(Error::Old | Error::Refused(_)) => {
                    agent.desk.borrow_mut().stopped(key, Boottime.now());
                    agent.attention.notify(usize::MAX);
                    return;
                }
                Err(Error::Fenced) => return agent.desk.borrow_mut().give_up_withdrawal(key),
                Err(error) => {
                    spdlog::debug!("stop repeated", kv: { reason = error.to_string() });
                }
            }
        }
        monoio::time::sleep(agent.settings.look_pause).await;
    }
}

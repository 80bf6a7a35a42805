//! The loop that reports to the owner and receives its orders.

use super::{Agent, order};
use crate::entry::keys;
use crate::peers::{Client, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use shallotflow_core::time::Clock;
use shallotflow_policy::plan::message::Reply;
use shallotflow_runtime::clock::Boottime;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of reports in flight: while one waits for orders, others carry updates.
const MAX_IN_FLIGHT: usize = 3;
/// Updates within this time go into one report.
const COALESCE_DELAY: Duration = Duration::from_millis(2);

/// Time in which a worker usually answers the starts that a reply ordered; the next report carries
/// the answers.
const ANSWER_DELAY: Duration = Duration::from_millis(8);

/// Finds the owner and reports to it until the process ends.
pub(super) async fn run(agent: Rc<Agent>) {
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut candidate: Option<SocketAddr> = None;
    let mut next_entry = 0;
    loop {
        if candidate.is_none() && (entries.is_empty() || next_entry >= entries.len()) {
            next_entry = 0;
            match keys::addresses(&*agent.store).await {
                Ok((owner, found)) => {
                    candidate = owner;
                    if !found.is_empty() {
                        entries = found;
                    }
                }
                Err(error) => {
                    spdlog::debug!("entries unknown", kv: { reason = error.to_string() });
                }
            }
        }
        let address = candidate.take().or_else(|| {
            next_entry += 1;
            entries.get(next_entry - 1).copied()
        });
        let Some(address) = address else {
            monoio::time::sleep(agent.settings.report_pause).await;
            continue;
        };
        let found = session(&agent, address, &mut entries).await;
        if let Some(owner) = found.filter(|owner| *owner != address) {
            candidate = Some(owner);
        } else {
            monoio::time::sleep(agent.settings.report_pause).await;
        }
    }
}

/// Reports to one entry while it is the owner; returns the owner's address if the entry names
/// another one.
async fn session(
    agent: &Rc<Agent>,
    address: SocketAddr,
    entries: &mut Vec<SocketAddr>,
) -> Option<SocketAddr> {
    let client = Client::new(address);
    let mut in_flight = FuturesUnordered::new();
    let mut joined = false;
    let mut pending = false;
    let mut due = agent.report_due.listen();
    loop {
        if in_flight.is_empty() || (pending && in_flight.len() < MAX_IN_FLIGHT) {
            in_flight.push(send_report(agent, &client));
            pending = false;
        }
        // The listener outlives a reply, so that no notification is lost that comes together with one.
        let reply = monoio::select! {
            Some(reply) = in_flight.next() => Some(reply),
            () = &mut due => None,
        };
        let Some(reply) = reply else {
            monoio::time::sleep(COALESCE_DELAY).await;
            due = agent.report_due.listen();
            pending = true;
            continue;
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                if joined {
                    spdlog::warn!("owner lost", kv: {
                        owner = address.to_string(), reason = error.to_string()
                    });
                }
                return None;
            }
        };
        if !reply.entries.is_empty() {
            entries.clone_from(&reply.entries);
        }
        if !reply.owned || reply.epoch < agent.run_table.borrow().epoch() {
            return reply.owner;
        }
        if !joined {
            joined = true;
            let epoch = reply.epoch;
            spdlog::info!("owner found", kv: { owner = address.to_string(), epoch });
        }
        let ordered = handle_reply(agent, reply);
        if ordered && in_flight.is_empty() {
            monoio::time::sleep(ANSWER_DELAY).await;
        }
    }
}

async fn send_report(agent: &Rc<Agent>, client: &Client) -> Result<Reply, Error> {
    let report = agent.run_table.borrow_mut().report(Boottime.now());
    client.report(&report, agent.settings.report_limit).await
}

/// Applies a reply and executes its orders; returns whether it has any.
fn handle_reply(agent: &Rc<Agent>, reply: Reply) -> bool {
    let (epoch, sequence) = (reply.epoch, reply.sequence);
    let orders = {
        let mut table = agent.run_table.borrow_mut();
        let former = table.fence();
        let orders = table.apply_reply(reply);
        if table.fence() != former {
            agent.poll_due.notify(usize::MAX);
        }
        orders
    };
    let ordered = !orders.is_empty();
    for order in orders {
        order::execute(agent, order, epoch, sequence);
    }
    ordered
}

//! The loop that reports to the owner and takes its orders.

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

/// Reports on their way at the same time: one that waits for orders and one with news.
const IN_FLIGHT: usize = 3;
/// News within this time go into one report.
const GATHER: Duration = Duration::from_millis(2);

/// Finds the owner and reports to it, for ever.
pub(super) async fn follow(agent: Rc<Agent>) {
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut target: Option<SocketAddr> = None;
    let mut next = 0;
    loop {
        if target.is_none() && (entries.is_empty() || next >= entries.len()) {
            next = 0;
            match keys::addresses(&*agent.store).await {
                Ok((owner, found)) => {
                    target = owner;
                    if !found.is_empty() {
                        entries = found;
                    }
                }
                Err(error) => {
                    spdlog::debug!("entries unknown", kv: { reason = error.to_string() });
                }
            }
        }
        let address = target.take().or_else(|| {
            next += 1;
            entries.get(next - 1).copied()
        });
        let Some(address) = address else {
            monoio::time::sleep(agent.settings.report_pause).await;
            continue;
        };
        let found = session(&agent, address, &mut entries).await;
        if let Some(owner) = found.filter(|owner| *owner != address) {
            target = Some(owner);
        } else {
            monoio::time::sleep(agent.settings.report_pause).await;
        }
    }
}

/// Reports to one entry while it is the owner; returns where it says the owner is.
async fn session(
    agent: &Rc<Agent>,
    address: SocketAddr,
    entries: &mut Vec<SocketAddr>,
) -> Option<SocketAddr> {
    let client = Client::new(address);
    let mut in_flight = FuturesUnordered::new();
    let mut joined = false;
    let mut news = false;
    loop {
        if in_flight.is_empty() || (news && in_flight.len() < IN_FLIGHT) {
            in_flight.push(send(agent, &client));
            news = false;
        }
        let listener = agent.news.listen();
        let reply = monoio::select! {
            Some(reply) = in_flight.next() => Some(reply),
            _ = listener => None,
        };
        let Some(reply) = reply else {
            monoio::time::sleep(GATHER).await;
            news = true;
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
        if !reply.owned || reply.epoch < agent.desk.borrow().epoch() {
            return reply.owner;
        }
        if !joined {
            joined = true;
            let epoch = reply.epoch;
            spdlog::info!("owner found", kv: { owner = address.to_string(), epoch });
        }
        take(agent, reply);
    }
}

async fn send(agent: &Rc<Agent>, client: &Client) -> Result<Reply, Error> {
    let report = agent.desk.borrow_mut().report(Boottime.now());
    client.report(&report, agent.settings.report_limit).await
}

fn take(agent: &Rc<Agent>, reply: Reply) {
    let epoch = reply.epoch;
    let orders = {
        let mut desk = agent.desk.borrow_mut();
        let known = desk.epoch();
        let orders = desk.replied(reply);
        if desk.epoch() != known {
            agent.attention.notify(usize::MAX);
        }
        orders
    };
    for order in orders {
        order::carry(agent, order, epoch);
    }
}

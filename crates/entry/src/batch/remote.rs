//! Calls about jobs in ledgers that other entries own, forwarded to the owner.

use super::{Result, Submission, problem};
use crate::session::{Owner, Session};
use serde::de::DeserializeOwned;
use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::{self, Channel};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tonic::{Response, Status};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How many times a call may be forwarded.
const MAX_HOPS: u32 = 1;

/// Client for the owners of ledgers, with one channel per entry.
pub(super) struct Remote {
    session: Rc<Session>,
    channels: RefCell<BTreeMap<SocketAddr, Channel>>,
}

impl Remote {
    pub(super) fn new(session: Rc<Session>) -> Self {
        Self { session, channels: RefCell::default() }
    }

    pub(super) async fn submit(
        &self,
        ledger: u32,
        id: &Name,
        spec: &Spec,
        hops: u32,
    ) -> Result<Submission> {
        let spec = serde_json::to_string(spec)
            .map_err(|error| Problem::not_run(Code::Internal, error.to_string()))?;
        let request = proto::SubmitRequest { id: id.to_string(), spec, hops: hops + 1 };
        let reply = self
            .call(ledger, hops, async |mut client| client.submit_job(request.clone()).await)
            .await?;
        let created = reply.created;
        Ok(Submission { record: parse_record(ledger, reply)?, created })
    }

    pub(super) async fn read(&self, ledger: u32, id: &Name, hops: u32) -> Result<Record> {
        let request = proto::JobRequest { id: id.to_string(), hops: hops + 1 };
        let reply = self
            .call(ledger, hops, async |mut client| client.read_job(request.clone()).await)
            .await?;
        parse_record(ledger, reply)
    }

    pub(super) async fn cancel(&self, ledger: u32, id: &Name, hops: u32) -> Result<Record> {
        let request = proto::JobRequest { id: id.to_string(), hops: hops + 1 };
        let reply = self
            .call(ledger, hops, async |mut client| client.cancel_job(request.clone()).await)
            .await?;
        parse_record(ledger, reply)
    }

    async fn call(
        &self,
        ledger: u32,
        hops: u32,
        send: impl AsyncFnOnce(
            SchedulerClient<Channel>,
        ) -> std::result::Result<Response<proto::JobReply>, Status>,
    ) -> Result<proto::JobReply> {
        let owner = self.session.owner(ledger);
        let channel = self.channel(ledger, hops).ok_or_else(|| problem::no_owner(ledger))?;
        let origin = channel.origin();
        let client = SchedulerClient::with_origin(channel.clone(), origin);
        let reply = monoio::select! {
            reply = monoio::time::timeout(CALL_TIMEOUT, send(client)) => reply.ok(),
            () = self.owner_changed(ledger, owner) => None,
        };
        let Some(reply) = reply else {
            channel.reset();
            return Err(problem::owner_unresponsive(ledger, "no answer in time"));
        };
        let reply = reply.map_err(|status| call_problem(ledger, &status))?;
        Ok(reply.into_inner())
    }

    /// Waits until `owner` no longer owns `ledger`.
    async fn owner_changed(&self, ledger: u32, owner: Option<Owner>) {
        loop {
            let changed = self.session.listen();
            if self.session.owner(ledger) != owner {
                return;
            }
            changed.await;
        }
    }

    /// Returns the channel to the owner of `ledger`, if another entry owns it and the call may be
    /// forwarded once more.
    fn channel(&self, ledger: u32, hops: u32) -> Option<Channel> {
        if hops >= MAX_HOPS {
            return None;
        }
        let owner = self.session.owner(ledger)?;
        if owner.name == *self.session.name() {
            return None;
        }
        let address = self.session.peer_address(&owner.name)?;
        self.remove_stale_channels();
        let mut channels = self.channels.borrow_mut();
        Some(channels.entry(address).or_insert_with(|| Channel::new(address)).clone())
    }

    fn remove_stale_channels(&self) {
        let live = self.session.peer_addresses();
        self.channels.borrow_mut().retain(|address, _| live.contains(address));
    }
}

fn call_problem(ledger: u32, status: &Status) -> Problem {
    let source =
        std::error::Error::source(status).and_then(|source| source.downcast_ref::<rpc::Error>());
    match source {
        Some(rpc::Error::Connect { .. }) => problem::no_owner(ledger),
        _ => problem::owner_unresponsive(ledger, status.message()),
    }
}

fn parse_record(ledger: u32, reply: proto::JobReply) -> Result<Record> {
    if !reply.problem.is_empty() {
        return Err(parse_json(ledger, &reply.problem)?);
    }
    parse_json(ledger, &reply.record)
}

fn parse_json<T: DeserializeOwned>(ledger: u32, text: &str) -> Result<T> {
    serde_json::from_str(text)
        .map_err(|error| problem::owner_unresponsive(ledger, &format!("invalid response: {error}")))
}

//! Jobs in ledgers that other entries own: one hop to the owner.

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
/// How many entries a call may cross.
const MAX_HOPS: u32 = 1;

/// Calls to the owners of ledgers.
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
        Ok(Submission { record: record(ledger, reply)?, created })
    }

    pub(super) async fn read(&self, ledger: u32, id: &Name, hops: u32) -> Result<Record> {
        let request = proto::JobRequest { id: id.to_string(), hops: hops + 1 };
        let reply = self
            .call(ledger, hops, async |mut client| client.read_job(request.clone()).await)
            .await?;
        record(ledger, reply)
    }

    pub(super) async fn cancel(&self, ledger: u32, id: &Name, hops: u32) -> Result<Record> {
        let request = proto::JobRequest { id: id.to_string(), hops: hops + 1 };
        let reply = self
            .call(ledger, hops, async |mut client| client.cancel_job(request.clone()).await)
            .await?;
        record(ledger, reply)
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
            () = self.replaced(ledger, owner) => None,
        };
        let Some(reply) = reply else {
            channel.reset();
            return Err(problem::owner_silent(ledger, "no answer in time"));
        };
        let reply = reply.map_err(|status| unanswered(ledger, &status))?;
        Ok(reply.into_inner())
    }

    /// Waits until `ledger` has another owner than `owner`.
    async fn replaced(&self, ledger: u32, owner: Option<Owner>) {
        loop {
            let changed = self.session.listen();
            if self.session.owner(ledger) != owner {
                return;
            }
            changed.await;
        }
    }

    /// The way to the owner of `ledger`, if another entry owns it and the call may cross to it.
    fn channel(&self, ledger: u32, hops: u32) -> Option<Channel> {
        if hops >= MAX_HOPS {
            return None;
        }
        let owner = self.session.owner(ledger)?;
        if owner.name == *self.session.name() {
            return None;
        }
        let address = self.session.peer(&owner.name)?;
        self.forget_gone();
        let mut channels = self.channels.borrow_mut();
        Some(channels.entry(address).or_insert_with(|| Channel::new(address)).clone())
    }

    fn forget_gone(&self) {
        let live = self.session.peers();
        self.channels.borrow_mut().retain(|address, _| live.contains(address));
    }
}

fn unanswered(ledger: u32, status: &Status) -> Problem {
    let carried =
        std::error::Error::source(status).and_then(|source| source.downcast_ref::<rpc::Error>());
    match carried {
        Some(rpc::Error::Connect { .. }) => problem::no_owner(ledger),
        _ => problem::owner_silent(ledger, status.message()),
    }
}

fn record(ledger: u32, reply: proto::JobReply) -> Result<Record> {
    if !reply.problem.is_empty() {
        return Err(parse(ledger, &reply.problem)?);
    }
    parse(ledger, &reply.record)
}

fn parse<T: DeserializeOwned>(ledger: u32, text: &str) -> Result<T> {
    serde_json::from_str(text)
        .map_err(|error| problem::owner_silent(ledger, &format!("unreadable answer: {error}")))
}

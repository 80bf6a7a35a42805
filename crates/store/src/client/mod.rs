//! A store client over the gRPC interface of etcd v3.

mod convert;
mod settings;
mod stream;

pub use settings::Settings;

use crate::error::{Error, Result};
use crate::pair::Pair;
use crate::proto::etcdserverpb as rpc;
use crate::store::{Snapshot, Store};
use crate::transaction::Transaction;
use crate::watch::Watch;
use async_trait::async_trait;
use futures_util::StreamExt;
use rpc::kv_client::KvClient;
use rpc::lease_client::LeaseClient;
use rpc::watch_client::WatchClient;
use shallotflow_core::list::Received;
use shallotflow_core::metric;
use shallotflow_wire::rpc::Channel;
use std::cell::Cell;
use std::time::Duration;
use tonic::{Code, Response, Status};

/// Maximum size of a gRPC message in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A client of the store with one connection per endpoint.
pub struct Client {
    settings: Settings,
    channels: Vec<Channel>,
    current_endpoint: Cell<usize>,
}

impl Client {
    /// Creates a client for the endpoints in `settings`; it connects on the first call.
    pub fn new(settings: Settings) -> Self {
        let channels = settings.endpoints.iter().copied().map(Channel::new).collect();
        Self { settings, channels, current_endpoint: Cell::new(0) }
    }

    /// Makes a call and counts it in the metric under `name`.
    async fn call<T>(
        &self,
        name: &'static str,
        retryable: bool,
        send: impl AsyncFn(Channel) -> std::result::Result<Response<T>, Status>,
    ) -> Result<T> {
        let reply = self.try_endpoints(retryable, send).await;
        let result = reply.as_ref().err().map_or("ok", Error::kind);
        metrics::counter!(metric::STORE_CALLS, "call" => name, "result" => result).increment(1);
        reply
    }

    /// Tries the endpoints in turn until one accepts the call; a call that may have been applied is
    /// retried at another endpoint only if it is `retryable`.
    async fn try_endpoints<T>(
        &self,
        retryable: bool,
        send: impl AsyncFn(Channel) -> std::result::Result<Response<T>, Status>,
    ) -> Result<T> {
        let mut last_error = Error::Unavailable { reason: "no endpoint is configured".to_owned() };
        for _ in 0..self.channels.len() {
            let channel = self.channels[self.current_endpoint.get()].clone();
            match self.call_endpoint(&channel, &send).await {
                Ok(reply) => return Ok(reply),
                Err(error @ Error::Unavailable { .. }) => last_error = error,
                Err(error @ Error::Unknown { .. }) if retryable => last_error = error,
                Err(error @ Error::Unknown { .. }) => {
                    self.select_next_endpoint();
                    return Err(error);
                }
                Err(error) => return Err(error),
            }
            self.select_next_endpoint();
        }
        Err(last_error)
    }

    async fn call_endpoint<T>(
        &self,
        channel: &Channel,
        send: &impl AsyncFn(Channel) -> std::result::Result<Response<T>, Status>,
    ) -> Result<T> {
        let limit = self.settings.call_timeout;
        let Ok(reply) = monoio::time::timeout(limit, send(channel.clone())).await else {
            channel.reset();
            return Err(Error::timed_out(limit));
        };
        reply.map(Response::into_inner).map_err(|status| classify(&status))
    }

    fn select_next_endpoint(&self) {
        self.current_endpoint.set((self.current_endpoint.get() + 1) % self.channels.len().max(1));
    }

    async fn fetch(&self, request: rpc::RangeRequest) -> Result<rpc::RangeResponse> {
        self.call("range", true, async |channel| kv(channel).range(request.clone()).await).await
    }
}

#[async_trait(?Send)]
impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Pair>> {
        let request = rpc::RangeRequest { key: key.into(), ..Default::default() };
        let reply = self.fetch(request).await?;
        Ok(reply.kvs.into_iter().next().map(convert::pair))
    }

    async fn range(&self, prefix: &str) -> Result<Snapshot> {
        let range_end = convert::prefix_end(prefix);
        let request = rpc::RangeRequest { key: prefix.into(), range_end, ..Default::default() };
        let reply = self.fetch(request).await?;
        let revision = convert::revision(reply.header.as_ref());
        let pairs = Received::new(reply.kvs.into_iter().map(convert::pair), reply.more);
        Ok(Snapshot { pairs, revision })
    }

    async fn commit(&self, transaction: Transaction) -> Result<i64> {
        let key = transaction.compares.first().map_or("", |compare| compare.key()).to_owned();
        let lease = convert::lease(&transaction);
        let request = convert::transaction(transaction);
        let reply = self
            .call("commit", false, async |channel| kv(channel).txn(request.clone()).await)
            .await;
        let reply = reply.map_err(|error| match error {
            Error::LeaseGone { .. } => Error::LeaseGone { id: lease },
            other => other,
        })?;
        if !reply.succeeded {
            return Err(Error::NotApplied { key });
        }
        Ok(convert::revision(reply.header.as_ref()))
    }

    async fn grant(&self, ttl: Duration) -> Result<i64> {
        let seconds = i64::try_from(ttl.as_millis().div_ceil(1_000)).unwrap_or(i64::MAX);
        let request = rpc::LeaseGrantRequest { ttl: seconds, id: 0 };
        let reply = self
            .call("grant", true, async |channel| lease(channel).lease_grant(request).await)
            .await?;
        Ok(reply.id)
    }

    async fn keep_alive(&self, id: i64) -> Result<()> {
        let request = rpc::LeaseKeepAliveRequest { id };
        let reply = self
            .call("keep-alive", true, async |channel| {
                let requests = futures_util::stream::iter([request]);
                let reply = lease(channel).lease_keep_alive(requests).await?;
                let first = reply.into_inner().next().await;
                let missing = || Status::unavailable("the keep-alive stream ended early");
                first.ok_or_else(missing)?.map(Response::new)
            })
            .await?;
        if reply.ttl <= 0 {
            return Err(Error::LeaseGone { id });
        }
        Ok(())
    }

    async fn revoke(&self, id: i64) -> Result<()> {
        let request = rpc::LeaseRevokeRequest { id };
        let reply = self
            .call("revoke", true, async |channel| lease(channel).lease_revoke(request).await)
            .await;
        match reply {
            Ok(_) | Err(Error::LeaseGone { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn watch(&self, prefix: &str, revision: i64) -> Result<Box<dyn Watch>> {
        let range_end = convert::prefix_end(prefix);
        let create =
            rpc::WatchCreateRequest { key: prefix.into(), range_end, start_revision: revision };
        let reply = self
            .call("watch", true, async |channel| {
                let requests = stream::requests(create.clone());
                watch(channel).watch(requests).await
            })
            .await?;
        Ok(Box::new(stream::Stream::new(reply, revision)))
    }
}

fn kv(channel: Channel) -> KvClient<Channel> {
    let origin = channel.origin();
    KvClient::with_origin(channel, origin)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn lease(channel: Channel) -> LeaseClient<Channel> {
    let origin = channel.origin();
    LeaseClient::with_origin(channel, origin)
}

fn watch(channel: Channel) -> WatchClient<Channel> {
    let origin = channel.origin();
    WatchClient::with_origin(channel, origin).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

/// Converts a status to an error that shows whether the call may have been applied.
fn classify(status: &Status) -> Error {
    let reason = status.message().to_owned();
    let transport_error = std::error::Error::source(status)
        .and_then(|source| source.downcast_ref::<shallotflow_wire::rpc::Error>());
    if let Some(shallotflow_wire::rpc::Error::Connect { .. }) = transport_error {
        return Error::Unavailable { reason };
    }
    match status.code() {
        Code::NotFound => Error::LeaseGone { id: 0 },
        Code::InvalidArgument
        | Code::OutOfRange
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::Unimplemented
        | Code::FailedPrecondition => Error::Rejected { reason },
        Code::ResourceExhausted => Error::Unavailable { reason },
        _ => Error::Unknown { reason },
    }
}

//! The gRPC interface of the stand-in store.

use super::table::Span;
use super::{Counters, Faults, Table};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rpc::kv_server::Kv;
use rpc::lease_server::Lease;
use rpc::watch_request::RequestUnion;
use rpc::watch_server::Watch;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_store::proto::etcdserverpb as rpc;
use shallotflow_store::proto::mvccpb::{Event, KeyValue};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tonic::{Request, Response, Status, Streaming};

/// How often a call that is held back checks whether the store is still frozen.
const FROZEN_POLL: Duration = Duration::from_millis(5);

type Reply<T> = Result<Response<T>, Status>;
type Messages = mpsc::UnboundedSender<Result<rpc::WatchResponse, Status>>;

/// A store that speaks the etcd v3 interface; clones share it.
#[derive(Clone)]
pub struct Server {
    faults: Faults,
    counters: Counters,
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    table: Table,
    watchers: Vec<Watcher>,
    random: SmallRng,
    lease_expirations: u64,
}

struct Watcher {
    span: Span,
    messages: Messages,
}

impl Server {
    /// An empty store; `seed` determines which replies are lost.
    pub fn new(faults: Faults, counters: Counters, seed: u64) -> Self {
        let lease_expirations = faults.lease_expirations();
        let shared = Shared {
            table: Table::default(),
            watchers: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            lease_expirations,
        };
        Self { faults, counters, shared: Arc::new(Mutex::new(shared)) }
    }

    /// Removes the expired leases and, while the store is down, breaks every watch.
    pub(super) fn expire(&self) {
        if self.faults.is_frozen() {
            return;
        }
        let mut shared = self.lock();
        let expirations = self.faults.lease_expirations();
        let all = shared.lease_expirations != expirations;
        shared.lease_expirations = expirations;
        let events = shared.table.expire(Monotonic.now(), all);
        shared.publish(&events);
        if self.faults.is_down() {
            shared.watchers.clear();
        }
    }

    /// Closes every watch.
    pub(super) fn close(&self) {
        self.lock().watchers.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays the call as the faults require, then refuses it if the store is down.
    async fn admit(&self) -> Result<(), Status> {
        let delay = self.faults.slow();
        if delay > Duration::ZERO || self.faults.is_frozen() {
            wait(delay, self.faults.clone()).await;
        }
        if self.faults.is_down() {
            return Err(Status::unavailable("the store is down"));
        }
        self.expire();
        Ok(())
    }

    /// Draws whether the reply to an applied write is lost.
    fn drops_reply(&self) -> bool {
        let share = self.faults.lost_answers();
        share > 0.0 && self.lock().random.random_bool(share)
    }
}

impl Shared {
    fn publish(&mut self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let header = Some(self.header());
        self.watchers.retain(|watcher| {
            let matches =
                |event: &&Event| event.kv.as_ref().is_some_and(|kv| watcher.span.contains(&kv.key));
            let events: Vec<Event> = events.iter().filter(matches).cloned().collect();
            if events.is_empty() {
                return !watcher.messages.is_closed();
            }
            let message = rpc::WatchResponse { header, events, ..Default::default() };
            watcher.messages.unbounded_send(Ok(message)).is_ok()
        });
    }

    fn header(&self) -> rpc::ResponseHeader {
        rpc::ResponseHeader { revision: self.table.revision(), ..Default::default() }
    }

    fn watch(&mut self, create: rpc::WatchCreateRequest, messages: Messages) {
        let span = Span { start: create.key, end: create.range_end };
        let start = match create.start_revision {
            0 => self.table.revision() + 1,
            revision => revision,
        };
        let header = Some(self.header());
        let created = rpc::WatchResponse { header, created: true, ..Default::default() };
        // A peer that has gone is noticed at the next event.
        let _ = messages.unbounded_send(Ok(created));
        match self.table.events_since(&span, start) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => {
                let message = rpc::WatchResponse { header, events, ..Default::default() };
                let _ = messages.unbounded_send(Ok(message));
            }
            Err(oldest) => {
                let message = rpc::WatchResponse {
                    header,
                    canceled: true,
                    compact_revision: oldest,
                    cancel_reason: "the revision is compacted".to_owned(),
                    ..Default::default()
                };
                let _ = messages.unbounded_send(Ok(message));
                return;
            }
        }
        self.watchers.push(Watcher { span, messages });
    }
}

#[tonic::async_trait]
impl Kv for Server {
    async fn range(&self, request: Request<rpc::RangeRequest>) -> Reply<rpc::RangeResponse> {
        self.admit().await?;
        let request = request.into_inner();
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let span = Span { start: request.key, end: request.range_end };
        let shared = self.lock();
        let kvs = shared.table.range(&span, limit);
        self.counters.count_read(kvs.iter().map(pair_bytes).sum());
        let count = kvs.len() as i64;
        let header = Some(shared.header());
        Ok(Response::new(rpc::RangeResponse { header, kvs, more: false, count }))
    }

    async fn txn(&self, request: Request<rpc::TxnRequest>) -> Reply<rpc::TxnResponse> {
        self.admit().await?;
        let request = request.into_inner();
        self.counters.count_write(request.success.iter().map(request_bytes).sum());
        let reply = {
            let mut shared = self.lock();
            let succeeded = shared.table.compare(&request.compare);
            let operations = if succeeded { &request.success } else { &request.failure };
            let events = shared
                .table
                .apply(operations)
                .map_err(|_| Status::not_found("etcdserver: requested lease not found"))?;
            shared.publish(&events);
            let responses = operations.iter().map(|_| rpc::ResponseOp::default()).collect();
            rpc::TxnResponse { header: Some(shared.header()), succeeded, responses }
        };
        if self.drops_reply() {
            return Err(Status::unavailable("the reply was lost"));
        }
        Ok(Response::new(reply))
    }
}

#[tonic::async_trait]
impl Lease for Server {
    type LeaseKeepAliveStream = BoxStream<'static, Result<rpc::LeaseKeepAliveResponse, Status>>;

    async fn lease_grant(
        &self,
        request: Request<rpc::LeaseGrantRequest>,
    ) -> Reply<rpc::LeaseGrantResponse> {
        self.admit().await?;
        self.counters.count_write(0);
        let seconds = u64::try_from(request.into_inner().ttl).unwrap_or(1).max(1);
        let mut shared = self.lock();
        let id = shared.table.grant(Duration::from_secs(seconds), Monotonic.now());
        let header = Some(shared.header());
        let ttl = seconds as i64;
        Ok(Response::new(rpc::LeaseGrantResponse { header, id, ttl, error: String::new() }))
    }

    async fn lease_revoke(
        &self,
        request: Request<rpc::LeaseRevokeRequest>,
    ) -> Reply<rpc::LeaseRevokeResponse> {
        self.admit().await?;
        self.counters.count_write(0);
        let mut shared = self.lock();
        let Some(events) = shared.table.revoke(request.into_inner().id) else {
            return Err(Status::not_found("etcdserver: requested lease not found"));
        };
        shared.publish(&events);
        let header = Some(shared.header());
        Ok(Response::new(rpc::LeaseRevokeResponse { header }))
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<rpc::LeaseKeepAliveRequest>>,
    ) -> Reply<Self::LeaseKeepAliveStream> {
        let server = self.clone();
        let replies = request.into_inner().then(move |request| {
            let server = server.clone();
            async move { server.renew(request?).await }
        });
        Ok(Response::new(replies.boxed()))
    }
}

impl Server {
    async fn renew(
        &self,
        request: rpc::LeaseKeepAliveRequest,
    ) -> Result<rpc::LeaseKeepAliveResponse, Status> {
        self.admit().await?;
        self.counters.count_keep_alive();
        let mut shared = self.lock();
        let ttl = shared.table.renew(request.id, Monotonic.now());
        let ttl = ttl.map_or(0, |ttl| ttl.as_secs() as i64);
        let header = Some(shared.header());
        Ok(rpc::LeaseKeepAliveResponse { header, id: request.id, ttl })
    }
}

#[tonic::async_trait]
impl Watch for Server {
    type WatchStream = BoxStream<'static, Result<rpc::WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<Streaming<rpc::WatchRequest>>,
    ) -> Reply<Self::WatchStream> {
        self.admit().await?;
        let mut requests = request.into_inner();
        let first = requests.next().await;
        let create = match first.and_then(Result::ok).and_then(|first| first.request_union) {
            Some(RequestUnion::CreateRequest(create)) => create,
            _ => {
                return Err(Status::invalid_argument(
                    "the first message on a watch must be a create request",
                ));
            }
        };
        self.counters.count_watch();
        let (messages, replies) = mpsc::unbounded();
        self.lock().watch(create, messages);
        let server = self.clone();
        let replies = replies.then(move |reply| {
            let server = server.clone();
            async move {
                server.admit().await?;
                reply
            }
        });
        Ok(Response::new(replies.boxed()))
    }
}

/// Waits for `delay` and until the store is no longer frozen.
///
/// The wait runs in a task of its own because the runtime's timers cannot move between threads,
/// while the gRPC futures have to be `Send`.
async fn wait(delay: Duration, faults: Faults) {
    let (done, woken) = oneshot::channel();
    monoio::spawn(async move {
        monoio::time::sleep(delay).await;
        while faults.is_frozen() {
            monoio::time::sleep(FROZEN_POLL).await;
        }
        // The receiver is gone if the client has cancelled the call.
        let _ = done.send(());
    });
    let _ = woken.await;
}

fn pair_bytes(pair: &KeyValue) -> usize {
    pair.key.len() + pair.value.len()
}

fn request_bytes(operation: &rpc::RequestOp) -> usize {
    match &operation.request {
        Some(rpc::request_op::Request::RequestPut(put)) => put.key.len() + put.value.len(),
        Some(rpc::request_op::Request::RequestDeleteRange(delete)) => delete.key.len(),
        _ => 0,
    }
}

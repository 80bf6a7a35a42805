//! A stand-in for the platform's store: in memory, with faults that can be set while it runs.
//!
//! - [`Faults`]: outages, delays and lost replies.
//! - [`Counters`]: counts of the calls to the store.
//! - [`Table`]: the key-value pairs, their history and the leases.
//! - [`Server`]: the gRPC interface over a table.

mod counters;
mod faults;
mod server;
mod table;

pub use counters::{Counters, Reading};
pub use faults::Faults;
pub use server::Server;
pub use table::Table;

use event_listener::Event;
use http::Request;
use shallotflow_store::proto::etcdserverpb as rpc;
use std::rc::Rc;
use std::time::Duration;
use tonic::body::Body;
use tower_service::Service;

/// How often expired leases are removed when there are no calls.
const LEASE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a message that the store accepts, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Serves `server` on `listener` until `stop` is notified.
pub async fn serve(listener: monoio::net::TcpListener, server: Server, stop: Rc<Event>) {
    let stopped = stop.listen();
    let router = Router::new(&server);
    let expiring = async {
        loop {
            monoio::time::sleep(LEASE_INTERVAL).await;
            server.expire();
        }
    };
    monoio::select! {
        _ = stopped => {}
        () = expiring => {}
        () = shallotflow_wire::rpc::serve(listener, router, stop.clone()) => {}
    }
    server.close();
}

/// Routes each call to the gRPC service that its path names.
#[derive(Clone)]
struct Router {
    kv: rpc::kv_server::KvServer<Server>,
    lease: rpc::lease_server::LeaseServer<Server>,
    watch: rpc::watch_server::WatchServer<Server>,
}

impl Router {
    fn new(server: &Server) -> Self {
        Self {
            kv: rpc::kv_server::KvServer::new(server.clone())
                .max_decoding_message_size(MAX_MESSAGE_BYTES),
            lease: rpc::lease_server::LeaseServer::new(server.clone()),
            watch: rpc::watch_server::WatchServer::new(server.clone()),
        }
    }
}

impl Service<Request<Body>> for Router {
    type Response = http::Response<Body>;
    type Error = std::convert::Infallible;
    type Future = futures_util::future::BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(
        &mut self,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<(), Self::Error>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        let path = request.uri().path();
        if path.starts_with("/etcdserverpb.Lease/") {
            return self.lease.call(request);
        }
        if path.starts_with("/etcdserverpb.Watch/") {
            return self.watch.call(request);
        }
        self.kv.call(request)
    }
}

//! The platform's balancer: forwards connections to the ready entries, round robin.

use super::Node;
use super::backends::{Backend, Backends};
use crate::load::client::Client;
use http::{Request, StatusCode};
use monoio::io::{Splitable, copy};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;
use std::time::Duration;

const PROBE_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for agents and other entries.
    pub peers: SocketAddr,
    /// The entries behind it.
    pub backends: Backends,
    node: Node,
}

#[derive(Clone, Copy, Debug)]
struct Bound {
    callers: SocketAddr,
    peers: SocketAddr,
}

impl Balancer {
    /// Starts a balancer without entries, on ports assigned by the system.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot provide a thread, a runtime or a port.
    pub fn start() -> anyhow::Result<Self> {
        let backends = Backends::default();
        let shared = backends.clone();
        let (node, bound) =
            Node::start("balancer", move |stop, ready| Box::pin(run(shared, stop, ready)))?;
        let Bound { callers, peers } = bound;
        Ok(Self { callers, peers, backends, node })
    }

    /// Closes all connections.
    pub fn kill(&mut self) {
        self.node.kill();
    }
}

async fn run(
    backends: Backends,
    stop: Stop,
    ready: super::node::Ready<Bound>,
) -> anyhow::Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (callers, peers) = (TcpListener::bind(any_port)?, TcpListener::bind(any_port)?);
    let bound = Bound { callers: callers.local_addr()?, peers: peers.local_addr()? };
    monoio::spawn(accept(callers, backends.clone(), |backend| backend.callers));
    monoio::spawn(accept(peers, backends.clone(), |backend| backend.peers));
    monoio::spawn(probe(backends));
    ready(bound);
    stop.wait(Level::Graceful).await;
    Ok(())
}

async fn accept(listener: TcpListener, backends: Backends, address_of: fn(&Backend) -> SocketAddr) {
    let mut first = 0;
    while let Ok((stream, _)) = listener.accept().await {
        first += 1;
        monoio::spawn(forward(stream, backends.clone(), address_of, first));
    }
}

/// Forwards a connection to the first ready entry that accepts, in order from index `first`.
async fn forward(
    client: TcpStream,
    backends: Backends,
    address_of: fn(&Backend) -> SocketAddr,
    first: usize,
) {
    let ready = backends.ready();
    for offset in 0..ready.len() {
        let address = address_of(&ready[(first + offset) % ready.len()]);
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(upstream)) = connecting {
            return copy_both_ways(client, upstream).await;
        }
    }
}

/// Copies bytes in both directions until either side closes.
async fn copy_both_ways(client: TcpStream, upstream: TcpStream) {
    if client.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    let (mut client_read, mut client_write) = client.into_split();
    let (mut upstream_read, mut upstream_write) = upstream.into_split();
    monoio::select! {
        _ = copy(&mut client_read, &mut upstream_write) => {}
        _ = copy(&mut upstream_read, &mut client_write) => {}
    }
}

/// Polls the readiness of every entry.
async fn probe(backends: Backends) {
    loop {
        let probes = backends.all().into_iter().map(|backend| {
            let backends = backends.clone();
            async move { backends.set_ready(&backend, is_ready(backend.operators).await) }
        });
        futures_util::future::join_all(probes).await;
        monoio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn is_ready(operators: SocketAddr) -> bool {
    let Ok(request) = Request::get("/readyz").body(Body::Empty) else { return false };
    let answer = Client::new(operators).send(request, PROBE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

//! Measures the throughput of quick requests through one entry on one thread.
//!
//! Fake agents on their own threads answer immediately, so that the entry is the bottleneck. Prints
//! requests per second of wall time and per second of the entry's processor time.

use bpaf::Bpaf;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use monoio::net::TcpListener;
use shallotflow_entry::Settings;
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::client::Connection;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::server::{Handler, serve};
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Measures the throughput of quick requests through one entry on one thread.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Seconds to measure
    #[bpaf(fallback(3))]
    seconds: u64,
    /// Connections of each sender thread
    #[bpaf(fallback(32))]
    connections: usize,
    /// Threads that send requests
    #[bpaf(fallback(2))]
    senders: usize,
    /// Fake agents, each on its own thread
    #[bpaf(fallback(2))]
    agents: usize,
}

struct Echo;

impl Handler for Echo {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let mut response = Response::new(request.into_body());
            let load = http::HeaderValue::from_static("1,0,64,100,1000");
            response.headers_mut().insert("shallotflow-load", load);
            response
        })
    }
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let (sender, receiver) = channel();
    let stop = Stop::default();
    let signal = stop.clone();
    let entry = thread::spawn(move || {
        let ready = |bound| {
            let _ = sender.send(bound);
        };
        let result = executor::run(shallotflow_entry::run(Settings::default(), signal, ready));
        (result, processor_time())
    });
    let bound = receiver.recv()?;
    for number in 0..arguments.agents {
        thread::spawn(move || executor::run(agent(number, bound.peers)));
    }
    thread::sleep(HEARTBEAT_INTERVAL);
    let count = Arc::new(AtomicU64::new(0));
    for _ in 0..arguments.senders {
        let (count, connections) = (count.clone(), arguments.connections);
        thread::spawn(move || executor::run(load(bound.callers, connections, count)));
    }
    thread::sleep(HEARTBEAT_INTERVAL);
    let (before, started) = (count.load(Ordering::Relaxed), Instant::now());
    thread::sleep(Duration::from_secs(arguments.seconds));
    let done = count.load(Ordering::Relaxed) - before;
    let elapsed = started.elapsed();
    stop.raise(Level::Immediate);
    let (_, busy) = entry.join().map_err(|_| anyhow::anyhow!("the entry panicked"))?;
    let total = count.load(Ordering::Relaxed);
    println!("requests a second of wall time: {:.0}", done as f64 / elapsed.as_secs_f64());
    println!("requests a second of the entry's processor time: {:.0}", total as f64 / busy);
    Ok(())
}

/// Returns the processor time that the calling thread has used, in seconds.
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|field| field.parse::<f64>().ok());
    nanoseconds.unwrap_or_default() / 1e9
}

async fn agent(number: usize, peers: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    monoio::spawn(serve(listener, Rc::new(Echo), Limits::default(), Gate::default()));
    let channel = Channel::new(peers);
    let origin = channel.origin();
    let mut client = SchedulerClient::with_origin(channel, origin);
    for sequence in 1.. {
        let report = proto::ReportRequest {
            worker: format!("worker-{number}"),
            domain: "default".to_owned(),
            address: address.to_string(),
            kinds: vec!["preview".to_owned()],
            incarnation: 1,
            sequence,
            load: Some(proto::Load { slots: 64, service_us: 100, ..Default::default() }),
            ..Default::default()
        };
        // Reports fail once the entry has stopped at the end of the measurement.
        let _ = client.report(report).await;
        monoio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn load(address: SocketAddr, connections: usize, count: Arc<AtomicU64>) {
    let limits = Rc::new(Limits::default());
    for _ in 0..connections {
        monoio::spawn(caller(address, limits.clone(), count.clone()));
    }
    std::future::pending::<()>().await;
}

async fn caller(address: SocketAddr, limits: Rc<Limits>, count: Arc<AtomicU64>) {
    let mut connection =
        Connection::open(address, limits, CONNECT_TIMEOUT).await.expect("a connection");
    loop {
        let request = Request::post("/run/preview")
            .header("shallotflow-caller", "designer")
            .header("shallotflow-deadline-ms", "2000")
            .body(Body::from("a small layout"))
            .expect("a request");
        let Ok(response) = connection.send(request).await else { return };
        assert!(response.status().is_success(), "status {}", response.status());
        if response.into_body().collect(1_000).await.is_err() {
            return;
        }
        count.fetch_add(1, Ordering::Relaxed);
    }
}

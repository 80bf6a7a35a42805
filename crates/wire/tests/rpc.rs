//! Tests of RPC calls between processes.

use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::proto::scheduler_server::{Scheduler, SchedulerServer};
use shallotflow_wire::proto::{
    ConfigReply, ConfigRequest, JobReply, JobRequest, ListReply, ListRequest, ReportReply,
    ReportRequest, SubmitRequest, TargetsReply, TargetsRequest,
};
use shallotflow_wire::rpc::{Channel, serve, serve_within};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tonic::{Code, Request, Response, Status};

/// Longest time for which a connection may be silent before it counts as lost.
const MAX_SILENCE: Duration = Duration::from_secs(5);
/// The preface of an HTTP/2 client with empty settings.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Answers each report with its sequence number and refuses all other calls.
struct Echo;

type Reply<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl Scheduler for Echo {
    async fn report(&self, request: Request<ReportRequest>) -> Reply<ReportReply> {
        let sequence = request.into_inner().sequence;
        Ok(Response::new(ReportReply { sequence, ..ReportReply::default() }))
    }

    async fn fetch_config(&self, _: Request<ConfigRequest>) -> Reply<ConfigReply> {
        Err(Status::unavailable("no configuration yet"))
    }

    async fn submit_job(&self, _: Request<SubmitRequest>) -> Reply<JobReply> {
        Err(Status::unimplemented("submit"))
    }

    async fn read_job(&self, _: Request<JobRequest>) -> Reply<JobReply> {
        Err(Status::unimplemented("read"))
    }

    async fn cancel_job(&self, _: Request<JobRequest>) -> Reply<JobReply> {
        Err(Status::unimplemented("cancel"))
    }

    async fn list_jobs(&self, _: Request<ListRequest>) -> Reply<ListReply> {
        Err(Status::unimplemented("list"))
    }

    async fn list_targets(&self, _: Request<TargetsRequest>) -> Reply<TargetsReply> {
        Err(Status::unimplemented("targets"))
    }
}

fn run(test: impl AsyncFnOnce(SocketAddr, Rc<Event>)) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let stop = Rc::new(Event::new());
        monoio::spawn(serve(listener, SchedulerServer::new(Echo), stop.clone()));
        test(address, stop).await;
    });
}

fn client(channel: &Channel) -> SchedulerClient<Channel> {
    SchedulerClient::with_origin(channel.clone(), channel.origin())
}

async fn report(channel: &Channel, sequence: u64) -> Result<u64, Status> {
    let request = ReportRequest { sequence, ..ReportRequest::default() };
    client(channel).report(request).await.map(|reply| reply.into_inner().sequence)
}

#[test]
fn concurrent_calls_get_their_own_replies() {
    run(async |address, _| {
        let channel = Channel::new(address);
        let calls = (1..=50).map(|sequence| report(&channel, sequence));
        let replies = futures_util::future::join_all(calls).await;
        let replies: Vec<_> = replies.into_iter().map(|reply| reply.expect("a reply")).collect();
        assert_eq!(replies, (1..=50).collect::<Vec<_>>());
    });
}

#[test]
fn an_error_status_reaches_the_client() {
    run(async |address, _| {
        let channel = Channel::new(address);
        let status =
            client(&channel).fetch_config(ConfigRequest::default()).await.expect_err("a refusal");
        assert_eq!(status.code(), Code::Unavailable);
        assert_eq!(status.message(), "no configuration yet");
    });
}

#[test]
fn a_channel_reconnects_after_a_reset() {
    run(async |address, _| {
        let channel = Channel::new(address);
        assert_eq!(report(&channel, 1).await.expect("a reply"), 1);
        channel.reset();
        assert_eq!(report(&channel, 2).await.expect("a reply"), 2);
    });
}

/// A peer that accepts connections and neither answers nor closes them.
async fn keep_silent(listener: TcpListener) {
    let mut connections = Vec::new();
    while let Ok(connection) = listener.accept().await {
        connections.push(connection);
    }
}

/// Watches have no timeout of their own, so only the channel can notice that its connection went
/// silent.
#[test]
fn a_call_without_a_timeout_fails_once_its_connection_is_silent() {
    run(async |_, _| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        monoio::spawn(keep_silent(listener));
        let channel = Channel::new(address);
        let ended = monoio::time::timeout(MAX_SILENCE, report(&channel, 1)).await;
        ended.expect("the silence is noticed").expect_err("a failure");
    });
}

/// Connections that peers left without a reset must not use up the descriptors of a process.
#[test]
fn a_server_closes_a_connection_whose_client_is_silent() {
    run(async |_, stop| {
        use monoio::io::AsyncReadRent;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let service = SchedulerServer::new(Echo);
        monoio::spawn(serve_within(listener, service, stop, Duration::from_millis(100)));
        let mut client = monoio::net::TcpStream::connect(address).await.expect("a connection");
        let closed = async {
            monoio::io::AsyncWriteRentExt::write_all(&mut client, PREFACE).await.0?;
            while client.read(Vec::with_capacity(1_024)).await.0? > 0 {}
            Ok::<_, std::io::Error>(())
        };
        let ended = monoio::time::timeout(MAX_SILENCE, closed).await;
        // The server may close the connection or reset it.
        let _ = ended.expect("the connection ends");
    });
}

#[test]
fn a_call_to_a_closed_port_fails() {
    run(async |_, _| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        let status = report(&Channel::new(address), 1).await.expect_err("a failure");
        assert!(status.message().contains("does not accept connections"), "{status}");
    });
}

#[test]
fn a_stopped_server_accepts_no_new_connections() {
    run(async |address, stop| {
        let channel = Channel::new(address);
        report(&channel, 1).await.expect("a reply");
        stop.notify(usize::MAX);
        // The listener closes in its own task; a refused connection shows that it has closed.
        while monoio::net::TcpStream::connect(address).await.is_ok() {
            monoio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
}

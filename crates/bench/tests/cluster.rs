//! Processes as threads: a whole testbed under load, kills and pauses.

use shallotflow_bench::cluster::{Cluster, Settings};
use shallotflow_bench::fault::Scenario;
use shallotflow_bench::run::{Experiment, Policy};
use shallotflow_bench::testbed::Testbed;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TINY: &str = "
[floor]
name = tiny
domains = a, b
workers = 2
entries = 1
[capacity]
slots = 4
connections = 16
millicores = 8000
memory_mib = 8000
[kind check]
class = quick
rate = 40
median = 2ms
deadline = 5s
[kind sync]
class = watch
rate = 30
median = 50ms
deadline = 10s
[kind render]
class = batch
rate = 10
median = 20ms
declared_run = 20ms
idempotent = false
";

/// Limit for a test that hangs; no passing test waits this long.
const HANG: Duration = Duration::from_secs(30);

fn tiny() -> Testbed {
    Testbed::parse("tiny", TINY).expect("a valid testbed")
}

fn refuses_connections(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, HANG).is_err()
}

#[test]
fn a_tiny_testbed_answers_its_load_without_violations() {
    let experiment = Experiment {
        testbed: tiny(),
        run: Duration::from_secs(1),
        settle: HANG,
        seed: 3,
        policy: Policy::Ours,
        faults: Vec::new(),
        log: "off".into(),
    };
    let summary = experiment.execute().expect("findings").summary;
    let quick = summary.quick;
    assert!(quick.sent > 0);
    assert_eq!(quick.sent, quick.done + quick.not_run + quick.unknown);
    assert!(quick.done > 0);
    assert!(summary.watch.done > 0);
    assert!(summary.batch.submitted > 0);
    assert_eq!(summary.batch.done, summary.batch.submitted);
    assert_eq!(summary.batch.duplicates, 0);
    assert_eq!(summary.violations.total(), 0, "{:?}", summary.notes);
}

#[test]
fn lost_answers_and_a_killed_agent_violate_no_guarantee() {
    let experiment = Experiment {
        testbed: tiny(),
        run: Duration::from_secs(2),
        settle: HANG,
        seed: 5,
        policy: Policy::Ours,
        faults: vec![Scenario::StoreLostAnswers, Scenario::AgentKill],
        log: "off".into(),
    };
    let summary = experiment.execute().expect("findings").summary;
    assert!(summary.quick.done > 0);
    assert!(summary.batch.done > 0);
    assert_eq!(summary.batch.lost, 0);
    assert_eq!(summary.violations.total(), 0, "{:?}", summary.notes);
}

#[test]
fn a_killed_process_closes_its_connections_and_listeners() {
    let mut cluster = Cluster::start(Settings::new(tiny(), 1)).expect("a cluster");
    let entry = cluster.entries[0].backend.callers;
    let agent = cluster.agents[0].requests;
    let worker = cluster.workers[0].target;
    let mut open = TcpStream::connect(entry).expect("a connection");
    open.set_read_timeout(Some(HANG)).expect("a timeout");
    cluster.entries[0].node.kill();
    cluster.agents[0].node.kill();
    cluster.workers[0].node.kill();
    // A closed connection ends or is reset; one that is still open times out.
    let end = open.read(&mut [0]);
    let closed = match &end {
        Ok(read) => *read == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    };
    assert!(closed, "{end:?}");
    for address in [entry, agent, worker] {
        assert!(refuses_connections(address), "{address}");
    }
}

#[test]
fn a_paused_process_continues_after_it_is_resumed() {
    let cluster = Cluster::start(Settings::new(tiny(), 1)).expect("a cluster");
    let entry = &cluster.entries[0];
    entry.node.pause(true);
    std::thread::sleep(Duration::from_millis(50));
    let mut stream = TcpStream::connect(entry.backend.operators).expect("the kernel accepts");
    let request = b"GET /readyz HTTP/1.1\r\nconnection: close\r\n\r\n";
    std::io::Write::write_all(&mut stream, request).expect("a sent request");
    stream.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout");
    assert!(stream.read(&mut [0]).is_err(), "a paused process answered");
    entry.node.pause(false);
    stream.set_read_timeout(Some(HANG)).expect("a timeout");
    assert!(stream.read(&mut [0]).is_ok_and(|read| read == 1));
    cluster.stop().expect("a graceful stop");
}

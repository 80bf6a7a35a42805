//! Clients beyond control, against an entry in a process of its own.

use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_runtime::executor;
use shallotflow_standin::crowd::{self, Crowd, Framing, Process};
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};
use test_case::test_case;

/// One crowd at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Memory of the machine, bytes.
const MEMORY: u64 = 160_000_000;
/// Limit on connections in the settings, and on descriptors: these, the listeners and some files.
const CONNECTIONS: usize = 1_000;
const DESCRIPTORS: usize = CONNECTIONS + 100;
/// Largest body of a job.
const BODY: usize = 256 * 1024;
/// Far longer than any test takes; only ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const HEAD: &str = "POST /jobs HTTP/1.1\r\nhost: entry\r\nidempotency-key: crowd\r\n";

/// An entry in a process of its own.
struct Entry {
    process: Process,
    callers: SocketAddr,
}

/// Starts a store stand-in that runs until the test process ends.
fn start_store() -> SocketAddr {
    let (ready, bound) = mpsc::channel();
    std::thread::spawn(move || {
        executor::run(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let _ = ready.send(listener.local_addr().expect("a bound address"));
            let server = Server::new(Faults::default(), Counters::default(), 7);
            serve(listener, server, Rc::new(Event::new())).await;
        })
    });
    bound.recv().expect("a bound address")
}

impl Entry {
    fn start(name: &str, connections: usize) -> Self {
        let callers = crowd::free_address().expect("a free port");
        let settings = format!(
            "[entry]\nname = entry-1\ndomain = d1\nlog = warn\ncallers_listen = {callers}\n\
             peers_listen = {}\noperators_listen = {}\nstore = {}\n\n\
             [limits]\nbody_bytes = 256KiB\nconnections = {connections}\n",
            crowd::free_address().expect("a free port"),
            crowd::free_address().expect("a free port"),
            start_store(),
        );
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{name}.ini"));
        std::fs::write(&path, settings).expect("a written file");
        let program = env!("CARGO_BIN_EXE_shallotflow-entry");
        let mut command = Command::new(program);
        let process = Process::start(command.arg("--config").arg(&path)).expect("a process");
        let entry = Self { process, callers };
        let started = Instant::now();
        while entry.submit("before").ok() != Some(202) {
            assert!(started.elapsed() < TEST_TIMEOUT, "no job was accepted");
            std::thread::sleep(Duration::from_millis(50));
        }
        entry
    }

    /// Submits an ordinary job and returns the status of the answer.
    fn submit(&self, key: &str) -> std::io::Result<u16> {
        let body = r#"{"kind":"guild","declared_run_ms":1000}"#;
        let request = format!(
            "POST /jobs HTTP/1.1\r\nhost: entry\r\nidempotency-key: {key}\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len(),
        );
        crowd::status(self.callers, &request)
    }

    fn check(&mut self) {
        let (peak, descriptors) = self.process.usage().expect("a process that goes on");
        println!("peak {peak} bytes, {descriptors} descriptors");
        assert!(peak <= MEMORY, "{peak} bytes");
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    }
}

#[test_case("whole", 700, BODY, Framing::Length, 1; "large bodies")]
#[test_case("pieces", 700, BODY, Framing::Length, 8; "large bodies piece by piece")]
#[test_case("announced", 300, 1_000_000, Framing::Chunks(1_000_000), 1; "a chunk beyond the limit")]
#[test_case("large-chunks", 700, BODY, Framing::Chunks(BODY), 4; "large chunks")]
#[test_case("small-chunks", 700, BODY, Framing::Chunks(64), 4; "small chunks")]
#[test_case("many", 1_200, 1_000, Framing::Length, 1; "more connections than the limit")]
fn a_crowd_that_stops_short_of_its_end_leaves_room_for_an_ordinary_job(
    name: &str,
    connections: usize,
    body: usize,
    framing: Framing,
    pieces: usize,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start(name, CONNECTIONS);
    let head = HEAD.to_owned();
    let crowd = Crowd { address: entry.callers, head, connections, body, framing, pieces };
    let open = crowd.gather().expect("connections");
    entry.check();
    assert_eq!(entry.submit("beside").expect("an answer"), 202);
    entry.check();
    drop(open);
    assert_eq!(entry.submit("after").expect("an answer"), 202);
}

/// Guards against limits that are too narrow for the largest request.
#[test]
fn one_job_at_the_limit_passes_in_calm() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let entry = Entry::start("limit", CONNECTIONS);
    let start = r#"{"kind":"guild","declared_run_ms":1000,"payload":""#;
    let body = format!("{start}{}\"}}", "x".repeat(BODY - start.len() - 2));
    let request = format!(
        "POST /jobs HTTP/1.1\r\nhost: entry\r\nidempotency-key: limit\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len(),
    );
    assert_eq!(crowd::status(entry.callers, &request).expect("an answer"), 202);
}

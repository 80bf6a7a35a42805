//! `peak`: measures how many quick requests per second one entry forwards.

use crate::cluster::{Cluster, Settings};
use crate::load::client::Client;
use crate::load::token::Token;
use crate::slope::usage;
use crate::testbed::Testbed;
use bpaf::Bpaf;
use http::Request;
use shallotflow_core::outcome::Outcome;
use shallotflow_runtime::executor;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_BYTES: usize = 64;
const TARGET_PER_SECOND: f64 = 20_000.0;

/// Options of `peak`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seconds of load
    #[bpaf(argument("N"), fallback(5))]
    pub seconds: u64,
    /// Threads that send requests
    #[bpaf(argument("N"), fallback(3))]
    pub threads: u16,
    /// Connections of each thread, each with one request at a time
    #[bpaf(argument("N"), fallback(16))]
    pub connections: u16,
    /// Workers behind the entry
    #[bpaf(argument("N"), fallback(6))]
    pub workers: usize,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"))]
    pub testbed: String,
}

/// Counts of the requests of one thread.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    done: u64,
    not_done: u64,
}

impl Options {
    /// Saturates one entry with requests of zero service time and prints its rate.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read or a process cannot start.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let mut testbed = Testbed::load(&self.testbed)?;
        testbed.site.workers = self.workers;
        testbed.site.entries = 1;
        let kind = testbed.kinds.first().map(|kind| kind.name.to_string()).unwrap_or_default();
        let cluster = Cluster::start(Settings::new(testbed, 1))?;
        let entry = cluster.entries[0].backend.callers;
        let before = usage::processor_time("entry-")?;
        let start = Instant::now();
        let until = start + Duration::from_secs(self.seconds);
        let mut threads = Vec::new();
        for thread in 0..self.threads {
            threads.push(self.spawn(thread, entry, kind.clone(), until)?);
        }
        let mut sum = Count::default();
        for thread in threads {
            let count =
                thread.join().map_err(|_| anyhow::anyhow!("a caller thread panicked"))??;
            sum.done += count.done;
            sum.not_done += count.not_done;
        }
        let seconds = start.elapsed().as_secs_f64();
        let processor_time_s =
            usage::processor_time("entry-")?.saturating_sub(before).as_secs_f64();
        cluster.stop()?;
        print(&sum, seconds, processor_time_s);
        Ok(ExitCode::SUCCESS)
    }

    fn spawn(
        &self,
        thread: u16,
        entry: SocketAddr,
        kind: String,
        until: Instant,
    ) -> std::io::Result<JoinHandle<std::io::Result<Count>>> {
        let connections = self.connections;
        let body = move || executor::run(callers(thread, connections, entry, kind, until));
        std::thread::Builder::new().name(format!("caller-{thread}")).spawn(body)
    }
}

fn print(sum: &Count, seconds: f64, processor_time_s: f64) {
    let rate = sum.done as f64 / seconds;
    let per_processor = sum.done as f64 / processor_time_s.max(f64::MIN_POSITIVE);
    let verdict = if per_processor >= TARGET_PER_SECOND { "pass" } else { "short" };
    println!("{rate:.0} requests done a second, {} not done", sum.not_done);
    println!("the entry used {:.2} of a processor", processor_time_s / seconds);
    println!(
        "{per_processor:.0} a second of its processor time, at least {TARGET_PER_SECOND:.0}: {verdict}"
    );
}

async fn callers(
    thread: u16,
    connections: u16,
    entry: SocketAddr,
    kind: String,
    until: Instant,
) -> Count {
    let caller = |connection| call_until(thread, connection, entry, kind.clone(), until);
    let counts = futures_util::future::join_all((0..connections).map(caller)).await;
    counts.into_iter().fold(Count::default(), |sum, count| Count {
        done: sum.done + count.done,
        not_done: sum.not_done + count.not_done,
    })
}

/// Sends one request after the other until `until`.
async fn call_until(
    thread: u16,
    connection: u16,
    entry: SocketAddr,
    kind: String,
    until: Instant,
) -> Count {
    let client = Client::new(entry);
    let mut count = Count::default();
    while Instant::now() < until {
        let token = Token::new(thread << 8 | connection, count.done + count.not_done);
        let body = token.body(BODY_BYTES);
        let request = Request::post(format!("/run/{kind}"))
            .header("shallotflow-caller", format!("caller-{connection}"))
            .header("shallotflow-idempotent", "true")
            .header("standin-run-ms", "0")
            .body(Body::Full(body.clone()));
        let Ok(request) = request else { return count };
        match client.send(request, CALL_TIMEOUT).await {
            Ok(answer)
                if answer.outcome() == Outcome::Done && token.matches(&body, &answer.body) =>
            {
                count.done += 1;
            }
            _ => count.not_done += 1,
        }
    }
    count
}

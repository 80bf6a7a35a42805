//! The threads that send the load of a testbed.

use super::batch;
use super::client::Client;
use super::outcomes::{Outcomes, Requests};
use super::progress::Progress;
use super::quick;
use super::schedule::Schedule;
use super::service::Service;
use super::submission::Submissions;
use crate::fault;
use crate::testbed::{Kind, Testbed};
use shallotflow_core::class::Class;
use shallotflow_runtime::executor;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How the load of a testbed is sent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for callers.
    pub address: SocketAddr,
    /// How long requests are sent.
    pub run: Duration,
    /// How long jobs may take to end after the load.
    pub settle: Duration,
    /// Threads that send quick requests and watchers.
    pub threads: u16,
    /// Whether quick requests and watchers are sent.
    pub requests: bool,
    /// Whether batch jobs are submitted.
    pub jobs: bool,
    /// The seed of arrivals and service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            run: Duration::from_secs(10),
            settle: Duration::from_secs(20),
            threads: 2,
            requests: true,
            jobs: true,
            seed: 1,
        }
    }
}

/// A load in progress.
pub struct Running {
    threads: Vec<JoinHandle<std::io::Result<Outcomes>>>,
    /// Counts for the display.
    pub progress: Progress,
    /// When the run started.
    pub start: Instant,
}

impl Running {
    /// Starts sending the load of `testbed`.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot start a thread.
    pub fn start(testbed: &Testbed, settings: &Settings) -> std::io::Result<Self> {
        let progress = Progress::default();
        let start = Instant::now();
        let mut threads = Vec::new();
        let senders = if settings.requests { settings.threads } else { 0 };
        for thread in 0..senders {
            let sender = Sender::new(testbed, settings, &progress, start, thread);
            threads.push(spawn(format!("load-{thread}"), move || sender.requests())?);
        }
        if settings.jobs {
            let sender = Sender::new(testbed, settings, &progress, start, settings.threads);
            threads.push(spawn("load-batch".to_owned(), move || sender.jobs())?);
        }
        Ok(Self { threads, progress, start })
    }

    /// Whether all requests have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits until all requests have ended.
    ///
    /// # Errors
    ///
    /// Fails when a thread could not create its runtime or panicked.
    pub fn join(self) -> anyhow::Result<Outcomes> {
        let mut outcomes = Outcomes::default();
        for thread in self.threads {
            let part = thread.join().map_err(|_| anyhow::anyhow!("a load thread panicked"))??;
            outcomes.merge(part);
        }
        Ok(outcomes)
    }
}

fn spawn(
    name: String,
    body: impl FnOnce() -> std::io::Result<Outcomes> + Send + 'static,
) -> std::io::Result<JoinHandle<std::io::Result<Outcomes>>> {
    std::thread::Builder::new().name(name).spawn(body)
}

/// The part of a load that one thread sends.
struct Sender {
    testbed: Testbed,
    settings: Settings,
    progress: Progress,
    start: Instant,
    thread: u16,
}

impl Sender {
    fn new(
        testbed: &Testbed,
        settings: &Settings,
        progress: &Progress,
        start: Instant,
        thread: u16,
    ) -> Self {
        let (testbed, settings, progress) = (testbed.clone(), settings.clone(), progress.clone());
        Self { testbed, settings, progress, start, thread }
    }

    fn requests(self) -> std::io::Result<Outcomes> {
        executor::run(async {
            let client = Client::new(self.settings.address);
            let kinds = self.testbed.kinds.iter().filter(|kind| kind.class != Class::Batch);
            let mut running = Vec::new();
            for (index, kind) in kinds.enumerate() {
                let stream = self.quick_stream(kind, index, client.clone());
                let (name, class) = (kind.name.clone(), kind.class);
                running.push(monoio::spawn(async move {
                    Requests { kind: name, class, tally: stream.run().await }
                }));
            }
            let requests = futures_util::future::join_all(running).await;
            Outcomes { requests, ..Outcomes::default() }
        })
    }

    fn jobs(self) -> std::io::Result<Outcomes> {
        executor::run(async {
            let client = Client::new(self.settings.address);
            let mut running = Vec::new();
            for (index, kind) in self.testbed.kinds_of(Class::Batch).enumerate() {
                running.push(monoio::spawn(self.batch_stream(kind, index, client.clone()).run()));
            }
            let mut outcomes = Outcomes::default();
            for jobs in futures_util::future::join_all(running).await {
                outcomes.jobs.merge(&jobs);
            }
            outcomes
        })
    }

    fn quick_stream(&self, kind: &Kind, index: usize, client: Client) -> quick::Stream {
        let seed = self.stream_seed(index);
        let rate = f64::from(kind.rate) / f64::from(self.settings.threads.max(1));
        let run = self.settings.run;
        let schedule = match kind.class {
            Class::Quick => Schedule::new(rate, self.testbed.surge.clone(), run, seed),
            _ => Schedule::steady(rate, run, seed),
        };
        quick::Stream {
            kind: kind.clone(),
            schedule,
            service: Service::new(kind, seed.wrapping_add(1)),
            client,
            start: self.start,
            thread: self.token_prefix(index),
            progress: self.progress.clone(),
        }
    }

    fn batch_stream(&self, kind: &Kind, index: usize, client: Client) -> batch::Stream {
        let seed = self.stream_seed(index);
        let run = self.settings.run;
        let (_, cancel) = fault::window(run);
        let thread = self.token_prefix(index);
        batch::Stream {
            schedule: Schedule::new(f64::from(kind.rate), kind.wave.clone(), run, seed),
            submissions: Submissions::new(kind, self.testbed.capacity, thread, self.settings.seed),
            client,
            start: self.start,
            until: run + self.settings.settle,
            cancel,
            progress: self.progress.clone(),
        }
    }

    /// Returns a seed that no other stream of the run uses.
    fn stream_seed(&self, index: usize) -> u64 {
        let stream = u64::from(self.token_prefix(index)) << 1;
        self.settings.seed.wrapping_mul(1 << 20).wrapping_add(stream)
    }

    /// Returns the prefix of the tokens of one stream, unique among all streams of the run.
    fn token_prefix(&self, index: usize) -> u16 {
        const STREAMS: u16 = 64;
        self.thread * STREAMS + index as u16
    }
}

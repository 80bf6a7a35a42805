//! Operators who change the fleet configuration concurrently, and a check of the result.

use monoio::time::timeout;
use shallotflow_cli::command::command;
use shallotflow_runtime::executor;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::proto::{ConfigReply, ConfigRequest};
use shallotflow_wire::rpc::Channel;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const OPERATORS: usize = 3;
const EDIT_PAUSE: Duration = Duration::from_millis(200);
const WATCH_PAUSE: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an accepted change may take to reach every entry.
const SPREAD: Duration = Duration::from_secs(4);

/// The result of a configuration race.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigReport {
    /// Changes that the system accepted.
    pub accepted: u64,
    /// Revisions that decreased, and accepted changes that an entry lacked at the end.
    pub reverted: u64,
    /// A description of each of those.
    pub notes: Vec<String>,
}

/// Concurrent operators, and a thread that observes the revisions of the entries.
#[derive(Debug)]
pub struct Race {
    ended: Arc<AtomicBool>,
    operators: Vec<JoinHandle<Vec<String>>>,
    watch: JoinHandle<std::io::Result<Vec<String>>>,
    entries: Vec<SocketAddr>,
}

impl Race {
    /// Starts the operators on the store and the observation of `entries`.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot start a thread.
    pub fn start(store: SocketAddr, entries: Vec<SocketAddr>) -> std::io::Result<Self> {
        let ended = Arc::new(AtomicBool::new(false));
        let mut operators = Vec::new();
        for operator in 0..OPERATORS {
            let ended = ended.clone();
            let thread = std::thread::Builder::new().name(format!("operator-{operator}"));
            operators.push(thread.spawn(move || add_exceptions(operator, store, &ended))?);
        }
        let (watch_ended, watch_entries) = (ended.clone(), entries.clone());
        let thread = std::thread::Builder::new().name("config-watch".to_owned());
        let watch =
            thread.spawn(move || executor::run(observe_revisions(watch_entries, watch_ended)))?;
        Ok(Self { ended, operators, watch, entries })
    }

    /// Ends the edits, waits until the changes have reached every entry and checks the entries.
    ///
    /// # Errors
    ///
    /// Fails when a thread could not create its runtime or panicked.
    pub fn end(self) -> anyhow::Result<ConfigReport> {
        self.ended.store(true, Ordering::SeqCst);
        let panicked = || anyhow::anyhow!("a thread of the configuration race panicked");
        let mut accepted = Vec::new();
        for operator in self.operators {
            accepted.extend(operator.join().map_err(|_| panicked())?);
        }
        let mut notes = self.watch.join().map_err(|_| panicked())??;
        let entries = self.entries;
        let wanted = accepted.clone();
        notes.extend(executor::run(async move { missing_changes(&entries, &wanted).await })?);
        Ok(ConfigReport { accepted: accepted.len() as u64, reverted: notes.len() as u64, notes })
    }
}

/// Adds exceptions until the race has ended; returns the identifiers of the accepted ones.
fn add_exceptions(operator: usize, store: SocketAddr, ended: &AtomicBool) -> Vec<String> {
    let mut accepted = Vec::new();
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let id = format!("race-{operator}-{number}");
        number += 1;
        let line = arguments(&id, store);
        // A change whose outcome is unknown counts as not accepted.
        let parsed = command().run_inner(line.as_slice());
        if parsed.is_ok_and(|command| shallotflow_cli::execute(command).is_ok()) {
            accepted.push(id);
        }
        std::thread::sleep(EDIT_PAUSE);
    }
    accepted
}

/// Returns the command line that adds the exception `id`.
fn arguments(id: &str, store: SocketAddr) -> Vec<OsString> {
    let store = store.to_string();
    let line = ["except", "add", "--store", &store, "--caller", id, "--reason", "a race", id];
    line.into_iter().chain(["quick_deadline=2s"]).map(OsString::from).collect()
}

/// Polls the revision of every entry; returns a description of each decrease.
async fn observe_revisions(entries: Vec<SocketAddr>, ended: Arc<AtomicBool>) -> Vec<String> {
    let channels: Vec<_> = entries.into_iter().map(Channel::new).collect();
    let mut highest = vec![0; channels.len()];
    let mut notes = Vec::new();
    while !ended.load(Ordering::SeqCst) {
        for (channel, highest) in channels.iter().zip(&mut highest) {
            let Some(reply) = fetch(channel).await else { continue };
            if reply.revision < *highest {
                let entry = channel.address();
                let revision = reply.revision;
                notes.push(format!("entry {entry} went from revision {highest} to {revision}"));
            }
            *highest = (*highest).max(reply.revision);
        }
        monoio::time::sleep(WATCH_PAUSE).await;
    }
    notes
}

/// Returns the accepted changes that some entry still lacks after [`SPREAD`].
async fn missing_changes(entries: &[SocketAddr], accepted: &[String]) -> Vec<String> {
    let until = Instant::now() + SPREAD;
    loop {
        let mut notes = Vec::new();
        for entry in entries {
            // An entry that another fault has ended has no configuration to check.
            let Some(reply) = fetch(&Channel::new(*entry)).await else { continue };
            let lacks = |id: &&String| !reply.text.contains(&format!("[exception {id}]"));
            let lacking = accepted.iter().filter(lacks);
            notes.extend(lacking.map(|id| format!("entry {entry} does not have exception {id}")));
        }
        if notes.is_empty() || Instant::now() > until {
            return notes;
        }
        monoio::time::sleep(WATCH_PAUSE).await;
    }
}

async fn fetch(entry: &Channel) -> Option<ConfigReply> {
    let mut client = SchedulerClient::with_origin(entry.clone(), entry.origin());
    let reply = timeout(CALL_TIMEOUT, client.fetch_config(ConfigRequest::default())).await;
    Some(reply.ok()?.ok()?.into_inner())
}

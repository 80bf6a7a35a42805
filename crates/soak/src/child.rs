//! A process that the soak controls.

use anyhow::Context;
use futures_channel::mpsc::UnboundedSender;
use rustix::process::{Pid, Signal, kill_process};
use shallotflow_runtime::clock::wall_us;
use shallotflow_standin::runs::Event;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, Stdio};
use std::thread::JoinHandle;

/// The index of a worker and an event that it printed on its standard output.
pub type WorkerEvent = (usize, Event);

/// A process that the soak started; dropping it kills it.
#[derive(Debug)]
pub struct Child {
    /// Name, for the report.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Index of the worker, if the process prints the events of one.
    worker: Option<usize>,
    events: UnboundedSender<WorkerEvent>,
    process: Option<Process>,
    /// Thread that reads the standard output.
    reader: Option<JoinHandle<()>>,
}

impl Child {
    /// Writes the settings file; the process does not run yet.
    pub fn new(
        name: String,
        program: PathBuf,
        directory: &Path,
        settings: &str,
        worker: Option<usize>,
        events: UnboundedSender<WorkerEvent>,
    ) -> anyhow::Result<Self> {
        let path = directory.join(format!("{name}.ini"));
        std::fs::write(&path, settings)
            .with_context(|| format!("cannot write {}", path.display()))?;
        let log = directory.join(format!("{name}.log"));
        Ok(Self { name, program, settings: path, log, worker, events, process: None, reader: None })
    }

    /// Starts the process unless it runs.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(&mut self) -> anyhow::Result<()> {
        if self.process.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut process = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}; build it first", self.program.display()))?;
        if let (Some(out), Some(worker)) = (process.stdout.take(), self.worker) {
            let events = self.events.clone();
            self.reader = Some(std::thread::spawn(move || {
                let lines = BufReader::new(out).lines().map_while(Result::ok);
                for event in lines.filter_map(|line| serde_json::from_str(&line).ok()) {
                    if events.unbounded_send((worker, event)).is_err() {
                        return;
                    }
                }
            }));
        }
        self.process = Some(process);
        Ok(())
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else { return };
        let id = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // The signal fails if the process has exited; `take_exit_status` reports that.
            let _ = kill_process(id, signal);
        }
    }

    /// Kills the process and waits for its exit; returns the time of the exit, in microseconds since
    /// the Unix epoch.
    pub fn kill(&mut self) -> Option<u64> {
        let mut process = self.process.take()?;
        // Both fail only if the process has already exited.
        let _ = process.kill();
        let _ = process.wait();
        let at = wall_us();
        self.join_reader();
        Some(at)
    }

    /// Returns the exit status if the process has exited by itself since the last call.
    pub fn take_exit_status(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.try_wait().ok()??;
        self.process = None;
        self.join_reader();
        Some(status.to_string())
    }

    /// Waits until all printed events have been forwarded.
    fn join_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            // The thread does not panic on any output.
            let _ = reader.join();
        }
    }

    /// Whether the process runs or is paused.
    pub fn is_started(&self) -> bool {
        self.process.is_some()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}

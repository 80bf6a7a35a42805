//! One process.

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

/// Transition a process says on its standard output, with the number of the worker.
pub type Said = (usize, Event);

/// A process that the soak started; dropping it kills it.
#[derive(Debug)]
pub struct Child {
    /// Its name, for the report.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// The number of the worker whose facts it prints.
    worker: Option<usize>,
    says: UnboundedSender<Said>,
    process: Option<Process>,
    /// Reads what it prints.
    reader: Option<JoinHandle<()>>,
}

impl Child {
    /// A process that does not run yet.
    pub fn new(
        name: String,
        program: PathBuf,
        directory: &Path,
        settings: &str,
        worker: Option<usize>,
        says: UnboundedSender<Said>,
    ) -> anyhow::Result<Self> {
        let path = directory.join(format!("{name}.ini"));
        std::fs::write(&path, settings)
            .with_context(|| format!("{} cannot be written", path.display()))?;
        let log = directory.join(format!("{name}.log"));
        Ok(Self { name, program, settings: path, log, worker, says, process: None, reader: None })
    }

    /// Starts it, if it does not run.
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
            .with_context(|| {
                format!("{} cannot be started; build it first", self.program.display())
            })?;
        if let (Some(out), Some(worker)) = (process.stdout.take(), self.worker) {
            let says = self.says.clone();
            self.reader = Some(std::thread::spawn(move || {
                let lines = BufReader::new(out).lines().map_while(Result::ok);
                for fact in lines.filter_map(|line| serde_json::from_str(&line).ok()) {
                    if says.unbounded_send((worker, fact)).is_err() {
                        return;
                    }
                }
            }));
        }
        self.process = Some(process);
        Ok(())
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else { return };
        let id = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // It may have ended by itself; that shows when it is looked at.
            let _ = kill_process(id, signal);
        }
    }

    /// Kills it and waits for its end; returns when that was, microseconds since 1970.
    pub fn kill(&mut self) -> Option<u64> {
        let mut process = self.process.take()?;
        // Both fail only for a process that has ended.
        let _ = process.kill();
        let _ = process.wait();
        let at = wall_us();
        self.read_out();
        Some(at)
    }

    /// Notes whether it has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.try_wait().ok()??;
        self.process = None;
        self.read_out();
        Some(status.to_string())
    }

    /// Waits until all that it printed was passed on.
    fn read_out(&mut self) {
        if let Some(reader) = self.reader.take() {
            // It panics on nothing that a process can print.
            let _ = reader.join();
        }
    }

    /// Whether it runs, or is paused.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}

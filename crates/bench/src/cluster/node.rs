//! A process on its own thread.

use super::descriptors;
use super::switch::Switch;
use anyhow::Context;
use futures_util::future::LocalBoxFuture;
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use std::sync::mpsc;
use std::thread::JoinHandle;

/// Callback that receives the addresses that a process has bound.
pub type Ready<B> = Box<dyn FnOnce(B)>;

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Node {
    name: String,
    stop: Stop,
    switch: Switch,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl Node {
    /// Starts `main` on a thread with its own runtime and waits until it reports its addresses.
    ///
    /// # Errors
    ///
    /// Fails when the process ends before it is ready, with the cause.
    pub fn start<B: Send + 'static>(
        name: impl Into<String>,
        main: impl FnOnce(Stop, Ready<B>) -> LocalBoxFuture<'static, anyhow::Result<()>>
        + Send
        + 'static,
    ) -> anyhow::Result<(Self, B)> {
        let name = name.into();
        let (stop, switch) = (Stop::default(), Switch::default());
        let (sender, receiver) = mpsc::channel();
        let (thread_stop, thread_switch) = (stop.clone(), switch.clone());
        let body = move || {
            descriptors::unshare_table()?;
            let ended = executor::run(async move {
                // The receiver is alive: it waits for this message.
                let ready = Box::new(move |bound| drop(sender.send(bound)));
                let running = main(thread_stop, ready);
                monoio::select! {
                    result = running => result,
                    () = thread_switch.watch() => Ok(()),
                }
            })?;
            descriptors::close_all()?;
            ended
        };
        let thread = std::thread::Builder::new().name(name.clone()).spawn(body)?;
        let mut node = Self { name, stop, switch, thread: Some(thread) };
        match receiver.recv() {
            Ok(bound) => Ok((node, bound)),
            Err(_) => Err(node.start_error()),
        }
    }

    /// The name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Ends the process abruptly, without any clean-up.
    pub fn kill(&mut self) {
        self.switch.kill();
        if let Some(thread) = self.thread.take() {
            // The process has ended in any case, also if it failed or panicked.
            let _ = thread.join();
        }
    }

    /// Requests an immediate stop and waits for the end of the process.
    pub fn stop_immediately(&mut self) {
        self.switch.pause(false);
        self.stop.raise(Level::Immediate);
        // The process has ended in any case, also if it failed or panicked.
        let _ = self.join();
    }

    /// Freezes or resumes the process.
    pub fn pause(&self, paused: bool) {
        self.switch.pause(paused);
    }

    /// Stops the process gracefully and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process ended with an error.
    pub fn stop(&mut self) -> anyhow::Result<()> {
        self.stop.raise(Level::Graceful);
        self.join()
    }

    /// Requests a graceful stop without waiting for it.
    pub fn request_stop(&self) {
        self.stop.raise(Level::Graceful);
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    fn join(&mut self) -> anyhow::Result<()> {
        let Some(thread) = self.thread.take() else { return Ok(()) };
        let result = thread.join().map_err(|_| anyhow::anyhow!("{} panicked", self.name))?;
        result.with_context(|| format!("{} failed", self.name))
    }

    fn start_error(&mut self) -> anyhow::Error {
        let ended = || anyhow::anyhow!("{} ended before it was ready", self.name);
        let thread = self.thread.take();
        match thread.map(JoinHandle::join) {
            Some(Ok(Err(error))) => error.context(format!("{} could not start", self.name)),
            _ => ended(),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

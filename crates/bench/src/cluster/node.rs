//! A process on a thread of its own.

use super::descriptors;
use super::switch::Switch;
use anyhow::Context;
use futures_util::future::LocalBoxFuture;
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use std::sync::mpsc;
use std::thread::JoinHandle;

/// Takes the addresses that a process has bound.
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
    /// Starts `main` on a thread with a runtime of its own and waits for its addresses.
    ///
    /// # Errors
    ///
    /// Fails when the process ends before it is ready, and why.
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
            descriptors::separate()?;
            let ended = executor::run(async move {
                // The receiver waits for this one message.
                let ready = Box::new(move |bound| drop(sender.send(bound)));
                let running = main(thread_stop, ready);
                monoio::select! {
                    result = running => result,
                    () = thread_switch.watch() => Ok(()),
                }
            })?;
            descriptors::close()?;
            ended
        };
        let thread = std::thread::Builder::new().name(name.clone()).spawn(body)?;
        let mut node = Self { name, stop, switch, thread: Some(thread) };
        match receiver.recv() {
            Ok(bound) => Ok((node, bound)),
            Err(_) => Err(node.failure()),
        }
    }

    /// The name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Ends the process at once, without any goodbye.
    pub fn kill(&mut self) {
        self.switch.kill();
        if let Some(thread) = self.thread.take() {
            // A process that failed or panicked is as dead as one that was killed.
            let _ = thread.join();
        }
    }

    /// Has the process end by itself at once, and waits for that.
    pub fn stop_immediately(&mut self) {
        self.switch.pause(false);
        self.stop.raise(Level::Immediate);
        // A process that failed or panicked has ended as well.
        let _ = self.join();
    }

    /// Freezes the process, or lets it go on.
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

    /// Asks the process to stop gracefully, without waiting.
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

    fn failure(&mut self) -> anyhow::Error {
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

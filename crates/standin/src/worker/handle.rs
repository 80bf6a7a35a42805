//! The operations of one worker.

use super::state::{POLL_INTERVAL, State};
use super::work::FULL_SHARE;
use super::{Request, Result};
use crate::audit::Audit;
use event_listener::Event;
use shallotflow_core::settings::standin::Settings;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_wire::control::{
    Acknowledge, Attach, Attached, Checkpoint, Checkpointed, Done, Key, List, Listing, Phase,
    Renew, Samples, Start, Stop, Stopped, Throttle, Usage,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// One worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    state: Rc<RefCell<State>>,
    changed: Rc<Event>,
}

impl Worker {
    /// A worker that runs nothing yet.
    pub fn new(settings: Settings, audit: Audit) -> Self {
        let state = State::new(settings, audit);
        Self { state: Rc::new(RefCell::new(state)), changed: Rc::default() }
    }

    /// Marks the worker as leaving from now on.
    pub fn leave(&self) {
        self.state.borrow_mut().leaving_since.get_or_insert(Monotonic.now());
    }

    /// Number of requests in flight.
    pub fn active_requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// Drops all requests and tasks, as a crash of the machine does.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.requests.clear();
        let tasks = std::mem::take(&mut state.tasks);
        let mut record = state.audit.record();
        for execution in tasks.values().filter(|execution| !execution.task.phase.is_final()) {
            record.record_end(&execution.task.key.job);
        }
    }

    /// Records the requests in flight as aborted by a planned stop.
    pub fn record_aborted_requests(&self) {
        let state = self.state.borrow();
        let mut record = state.audit.record();
        record.violations.cut_off_by_stop += state.requests.len() as u64;
        for id in state.requests.keys() {
            record.add_note(format!(
                "request {id} was aborted by the stop of {}",
                state.settings.worker
            ));
        }
    }

    /// Attaches an agent and fences every earlier incarnation of it.
    pub fn attach(&self, call: &Attach) -> Result<Attached> {
        let mut state = self.state.borrow_mut();
        if call.incarnation < state.incarnation {
            return Err(state.fenced(call.incarnation));
        }
        state.incarnation = call.incarnation;
        state.advance();
        Ok(Attached {
            boot: state.boot,
            now_us: Monotonic.now().as_micros(),
            capacity: state.settings.capacity,
            kinds: state.settings.kinds.clone(),
            held: state.listing(),
        })
    }

    /// Starts a task; idempotent.
    pub fn start(&self, call: &Start) -> Result<Done> {
        let added = self.state.borrow_mut().start(call)?;
        if added {
            self.changed.notify(usize::MAX);
            monoio::spawn(self.clone().supervise(call.key.clone()));
        }
        Ok(Done {})
    }

    /// Extends leases; skips tasks that are unknown or whose lease has expired.
    pub fn renew(&self, call: &Renew) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check_incarnation(call.incarnation)?;
        let now = Monotonic.now();
        for lease in &call.leases {
            let deadline = Time::from_micros(lease.deadline_us);
            let execution = state.tasks.get_mut(&lease.key);
            if let Some(execution) = execution.filter(|execution| !execution.deadline.passed(now)) {
                execution.extend(deadline);
            }
        }
        Ok(Done {})
    }

    /// Sets the processor share of a task.
    pub fn throttle(&self, call: &Throttle) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check_incarnation(call.incarnation)?;
        state.advance();
        let execution = state.execution(&call.key)?;
        execution.work.share_milli = call.share_milli.clamp(1, FULL_SHARE);
        Ok(Done {})
    }

    /// Takes a checkpoint of a running task, or returns the last one of a task that has ended.
    pub fn checkpoint(&self, call: &Checkpoint) -> Result<Checkpointed> {
        let mut state = self.state.borrow_mut();
        state.check_incarnation(call.incarnation)?;
        state.advance();
        let execution = state.execution(&call.key)?;
        if !execution.task.phase.is_final() {
            execution.take_checkpoint();
        }
        Ok(Checkpointed { checkpoint: execution.task.checkpoint.clone() })
    }

    /// Stops a task; has no effect on a task that has ended.
    pub fn stop(&self, call: &Stop) -> Result<Stopped> {
        let mut state = self.state.borrow_mut();
        state.check_incarnation(call.incarnation)?;
        state.advance();
        let execution = state.execution(&call.key)?;
        if !execution.task.phase.is_final() {
            if call.checkpoint {
                execution.take_checkpoint();
            }
            let phase = if call.checkpoint { Phase::Evicted } else { Phase::Stopped };
            state.end(&call.key, phase, "stopped by its agent");
        }
        let task = &state.execution(&call.key)?.task;
        let stopped = Stopped { phase: task.phase, checkpoint: task.checkpoint.clone() };
        drop(state);
        self.changed.notify(usize::MAX);
        Ok(stopped)
    }

    /// Removes tasks that have ended from the listing.
    pub fn acknowledge(&self, call: &Acknowledge) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check_incarnation(call.incarnation)?;
        for key in &call.keys {
            let ended =
                state.tasks.get(key).is_some_and(|execution| execution.task.phase.is_final());
            if ended {
                state.tasks.remove(key);
                state.version += 1;
            }
        }
        Ok(Done {})
    }

    /// Lists the tasks and requests once they have changed or the wait has timed out.
    pub async fn list(&self, call: &List) -> Result<Listing> {
        let deadline = Monotonic.now().after(Duration::from_millis(call.wait_ms));
        loop {
            let changed = self.changed.listen();
            let now = Monotonic.now();
            {
                let mut state = self.state.borrow_mut();
                state.check_incarnation(call.incarnation)?;
                state.advance();
                if state.version != call.after || call.after == 0 || deadline.passed(now) {
                    return Ok(state.listing());
                }
            }
            // The state is checked again after a change and after a timeout alike.
            let _ = monoio::time::timeout(deadline.remaining(now), changed).await;
        }
    }

    /// Returns the usage samples that are older than the reporting lag.
    pub fn usage(&self, call: &Usage) -> Result<Samples> {
        let state = self.state.borrow();
        state.check_incarnation(call.incarnation)?;
        let available = Monotonic.now().before(state.settings.report_lag);
        let samples = state.samples.iter();
        let wanted = samples
            .filter(|(at, _)| *at <= available && at.as_micros() > call.after_us)
            .map(|(_, sample)| sample.clone());
        Ok(Samples { samples: wanted.collect() })
    }

    /// Runs a request of the target to completion.
    ///
    /// # Errors
    ///
    /// Refuses the request of an agent incarnation that is not the attached one.
    pub async fn run_request(&self, incarnation: Option<u64>, request: Request) -> Result<()> {
        let id = request.id.clone();
        self.state.borrow_mut().admit(incarnation, request)?;
        loop {
            let wait = {
                let mut state = self.state.borrow_mut();
                state.advance();
                let Some(work) = state.requests.get(&id) else { return Ok(()) };
                if work.is_done() {
                    state.requests.remove(&id);
                    return Ok(());
                }
                state.request_poll_delay(&id)
            };
            monoio::time::sleep(wait).await;
        }
    }

    /// Advances a task until it has ended, and ends it when it is done or its lease expires.
    async fn supervise(self, key: Key) {
        loop {
            let wait = {
                let mut state = self.state.borrow_mut();
                state.advance();
                state.sample();
                let Some(execution) = state.tasks.get(&key) else { return };
                if execution.task.phase.is_final() {
                    break;
                }
                let now = state.advanced_at;
                if execution.deadline.passed(now) {
                    state.audit.record().lapses += 1;
                    state.end(&key, Phase::Lapsed, "its lease passed without a renewal");
                    break;
                }
                if execution.work.is_done() {
                    state.finish(&key);
                    break;
                }
                execution.deadline.remaining(now).min(POLL_INTERVAL)
            };
            monoio::time::sleep(wait).await;
        }
        self.changed.notify(usize::MAX);
    }
}

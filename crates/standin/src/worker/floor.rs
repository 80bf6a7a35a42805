//! Everything that one worker runs.

use super::state::{SLICE, State};
use super::work::FULL_SHARE;
use super::{Request, Result};
use crate::audit::Audit;
use event_listener::Event;
use shallotflow_core::settings::standin::Settings;
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_wire::control::{
    Acknowledge, Attach, Attached, Checkpoint, Checkpointed, Done, Key, List, Listed, Measured,
    Phase, Renew, Start, Stop, Stopped, Throttle, Usage,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// One worker; clones share it.
#[derive(Clone)]
pub struct Floor {
    state: Rc<RefCell<State>>,
    changed: Rc<Event>,
}

impl Floor {
    /// A worker that runs nothing yet.
    pub fn new(settings: Settings, board: Audit) -> Self {
        let state = State::new(settings, board);
        Self { state: Rc::new(RefCell::new(state)), changed: Rc::default() }
    }

    /// Says that the worker is leaving from now on.
    pub fn leave(&self) {
        self.state.borrow_mut().leaving_since.get_or_insert(Monotonic.now());
    }

    /// Requests in progress.
    pub fn requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// Ends all that runs, as the end of the machine would.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.requests.clear();
        let held = std::mem::take(&mut state.tasks);
        let mut facts = state.board.record();
        for held in held.values().filter(|held| !held.task.phase.is_final()) {
            facts.end(&held.task.key.job);
        }
    }

    /// Counts the requests in progress as cut off by a planned stop.
    pub fn cut_off(&self) {
        let state = self.state.borrow();
        let mut facts = state.board.record();
        facts.violations.cut_off_by_stop += state.requests.len() as u64;
        for id in state.requests.keys() {
            facts.note(format!("request {id} cut off on {}", state.settings.worker));
        }
    }

    /// Makes an agent the only one of this worker.
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
            held: state.listed(),
        })
    }

    /// Starts a task, unless it was started before.
    pub fn start(&self, call: &Start) -> Result<Done> {
        let added = self.state.borrow_mut().start(call)?;
        if added {
            self.changed.notify(usize::MAX);
            monoio::spawn(self.clone().follow(call.key.clone()));
        }
        Ok(Done {})
    }

    /// Extends leases; tasks that are unknown or have ended are passed over.
    pub fn renew(&self, call: &Renew) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        let now = Monotonic.now();
        for lease in &call.leases {
            let deadline = Time::from_micros(lease.deadline_us);
            let held = state.tasks.get_mut(&lease.key);
            if let Some(held) = held.filter(|held| !held.deadline.passed(now)) {
                held.extend(deadline);
            }
        }
        Ok(Done {})
    }

    /// Sets the processor share of a task.
    pub fn throttle(&self, call: &Throttle) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        state.advance();
        let held = state.held(&call.key)?;
        held.work.share_milli = call.share_milli.clamp(1, FULL_SHARE);
        Ok(Done {})
    }

    /// Takes a checkpoint of a running task; gives the last one of a task that has ended.
    pub fn checkpoint(&self, call: &Checkpoint) -> Result<Checkpointed> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        state.advance();
        let held = state.held(&call.key)?;
        if !held.task.phase.is_final() {
            held.save();
        }
        Ok(Checkpointed { checkpoint: held.task.checkpoint.clone() })
    }

    /// Stops a task; one that has ended stays as it is.
    pub fn stop(&self, call: &Stop) -> Result<Stopped> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        state.advance();
        let held = state.held(&call.key)?;
        if !held.task.phase.is_final() {
            if call.checkpoint {
                held.save();
            }
            let phase = if call.checkpoint { Phase::Evicted } else { Phase::Stopped };
            state.end(&call.key, phase, "stopped by its agent");
        }
        let task = &state.held(&call.key)?.task;
        let stopped = Stopped { phase: task.phase, checkpoint: task.checkpoint.clone() };
        drop(state);
        self.changed.notify(usize::MAX);
        Ok(stopped)
    }

    /// Forgets tasks that have ended.
    pub fn acknowledge(&self, call: &Acknowledge) -> Result<Done> {
        let mut state = self.state.borrow_mut();
        state.check(call.incarnation)?;
        for key in &call.keys {
            let ended = state.tasks.get(key).is_some_and(|held| held.task.phase.is_final());
            if ended {
                state.tasks.remove(key);
                state.version += 1;
            }
        }
        Ok(Done {})
    }

    /// Lists what the worker holds, once it has changed or the wait is over.
    pub async fn list(&self, call: &List) -> Result<Listed> {
        let until = Monotonic.now().after(Duration::from_millis(call.wait_ms));
        loop {
            let changed = self.changed.listen();
            let now = Monotonic.now();
            {
                let mut state = self.state.borrow_mut();
                state.check(call.incarnation)?;
                state.advance();
                if state.version != call.after || call.after == 0 || until.passed(now) {
                    return Ok(state.listed());
                }
            }
            // Whichever ends the wait, the list is looked at again.
            let _ = monoio::time::timeout(until.left(now), changed).await;
        }
    }

    /// Gives the usage samples that have become available.
    pub fn usage(&self, call: &Usage) -> Result<Measured> {
        let state = self.state.borrow();
        state.check(call.incarnation)?;
        let available = Monotonic.now().before(state.settings.report_lag);
        let samples = state.samples.iter();
        let wanted = samples
            .filter(|(at, _)| *at <= available && at.as_micros() > call.after_us)
            .map(|(_, sample)| sample.clone());
        Ok(Measured { samples: wanted.collect() })
    }

    /// Runs a request of the target to its end.
    ///
    /// # Errors
    ///
    /// Refuses the requests of an agent that is not attached.
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
                state.wait_request(&id)
            };
            monoio::time::sleep(wait).await;
        }
    }

    /// Follows a task until it has ended.
    async fn follow(self, key: Key) {
        loop {
            let wait = {
                let mut state = self.state.borrow_mut();
                state.advance();
                state.sample();
                let Some(held) = state.tasks.get(&key) else { return };
                if held.task.phase.is_final() {
                    break;
                }
                let now = state.advanced;
                if held.deadline.passed(now) {
                    state.board.record().lapses += 1;
                    state.end(&key, Phase::Lapsed, "its lease passed without a renewal");
                    break;
                }
                if held.work.is_done() {
                    state.finish(&key);
                    break;
                }
                held.deadline.left(now).min(SLICE)
            };
            monoio::time::sleep(wait).await;
        }
        self.changed.notify(usize::MAX);
    }
}

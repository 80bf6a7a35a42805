use super::active::ActiveRun;
use super::{Behavior, Event, Result, Transition};
use shallotflow_core::graph::Task;
use shallotflow_core::list::Received;
use shallotflow_core::settings::standin::Settings;
use shallotflow_core::time::{Clock as _, Monotonic, Time};
use shallotflow_policy::plan::message::{End, ExitReason, Incarnation, Profile, Status};
use shallotflow_runtime::clock::{wall_ms, wall_us};
use shallotflow_scheduler::agent::{Error, Lists};
use shallotflow_scheduler::runs::{Clock, Pace, Poll, Start, Stop};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of events that are kept for readers.
const MAX_EVENTS: usize = 100_000;

/// The end of a run that the agent has not confirmed yet.
struct Unconfirmed {
    end: End,
    epoch: u64,
    /// Whether the lease has expired since, so that the task may have started elsewhere.
    lapsed: bool,
}

/// The state of one incarnation of a worker.
pub(super) struct State {
    profile: Profile,
    epoch: u64,
    /// When the lease expires, which kills every run.
    lease: Time,
    running: BTreeMap<Task, ActiveRun>,
    ends: VecDeque<Unconfirmed>,
    last_end: u64,
    /// The highest run number of each task that was stopped or has ended on this worker.
    closed: BTreeMap<Task, u32>,
    events: VecDeque<Event>,
    last_event: u64,
    print_events: bool,
}

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        let incarnation = Incarnation { id: settings.worker.clone(), started_ms: wall_ms() };
        Self {
            profile: Profile {
                incarnation,
                service: settings.service.clone(),
                capacity: settings.capacity,
                labels: settings.labels.clone(),
                rack: settings.labels.get(1).cloned(),
                status: Status::Ready,
                failure_domain: "".into(),
                cold_remaining_ms: 0,
            },
            epoch: 0,
            lease: Time::ZERO,
            running: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            events: VecDeque::new(),
            last_event: 0,
            print_events: settings.print_facts,
        }
    }

    pub(super) fn profile(&self) -> Profile {
        self.profile.clone()
    }

    /// Reports the worker as draining; its runs continue.
    pub(super) fn leave(&mut self, remaining_ms: u64) {
        self.profile.status = Status::Draining { remaining_ms };
    }

    pub(super) fn last_end(&self) -> u64 {
        self.last_end
    }

    fn check(&mut self, incarnation: Option<&Incarnation>, epoch: u64) -> Result<()> {
        if incarnation.is_some_and(|expected| *expected != self.profile.incarnation) {
            return Err(Error::OtherIncarnation);
        }
        if epoch < self.epoch {
            return Err(Error::Fenced);
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Ends the runs that are done, and all runs when the lease has expired.
    ///
    /// The process may have been suspended past the expiry of the lease. Work is only counted up to
    /// the expiry.
    pub(super) fn advance(&mut self) {
        let now = Monotonic.now();
        let lapsed = self.lease.passed(now);
        let at = self.lease.min(now);
        let ending: Vec<(Task, ExitReason)> = self
            .running
            .iter()
            .filter_map(|(task, active)| match active.outcome(at) {
                Some(true) => Some((*task, ExitReason::Done)),
                Some(false) => Some((*task, ExitReason::Failed)),
                None => lapsed.then_some((*task, ExitReason::Lapsed)),
            })
            .collect();
        for (task, reason) in ending {
            self.end(task, reason, at);
        }
        if lapsed {
            for unconfirmed in &mut self.ends {
                unconfirmed.lapsed = true;
            }
        }
    }

    fn end(&mut self, task: Task, reason: ExitReason, at: Time) {
        let Some(active) = self.running.remove(&task) else { return };
        self.last_end += 1;
        let (run, epoch) = (active.number(), active.epoch);
        let checkpoint = active.checkpoint(at);
        let end = End { number: self.last_end, task, run, reason, checkpoint };
        self.ends.push_back(Unconfirmed { end, epoch, lapsed: false });
        self.close(task, run);
        self.emit(task, run, epoch, Transition::Ended(reason), at);
    }

    fn close(&mut self, task: Task, run: u32) {
        let closed = self.closed.entry(task).or_default();
        *closed = run.max(*closed);
    }

    fn emit(&mut self, task: Task, run: u32, epoch: u64, transition: Transition, at: Time) {
        self.last_event += 1;
        let age_us = Monotonic.now().since(at).as_micros();
        let unix_us = wall_us().saturating_sub(u64::try_from(age_us).unwrap_or(u64::MAX));
        let event = Event { number: self.last_event, unix_us, task, run, epoch, transition };
        if self.print_events {
            // Serialization cannot fail because all keys are strings.
            println!("{}", serde_json::to_string(&event).unwrap_or_default());
        }
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn clock() -> Clock {
        Clock { clock_ms: Monotonic.now().as_micros() / 1_000 }
    }

    fn renew(&mut self, lease_ms: u64) {
        self.lease = self.lease.max(Time::from_micros(lease_ms.saturating_mul(1_000)));
    }

    pub(super) fn start(&mut self, call: &Start) -> Result<Clock> {
        self.check(Some(&call.incarnation), call.start.epoch)?;
        self.advance();
        let start = &call.start;
        let (task, now) = (start.task, Monotonic.now());
        if self.running.get(&task).is_some_and(|active| active.number() == start.run) {
            return Ok(Self::clock());
        }
        if Time::from_micros(start.lease_ms.saturating_mul(1_000)).passed(now) {
            return Err(Error::Late);
        }
        self.renew(start.lease_ms);
        let closed = self.closed.get(&task).is_some_and(|closed| start.run <= *closed);
        if closed || self.running.contains_key(&task) {
            return Err(Error::Old);
        }
        let behavior = Behavior::from_text(&start.text, task.step);
        let checkpoint = start.checkpoint.as_ref();
        let run = (task.index, start.run);
        let active = ActiveRun::new(behavior, run, start.epoch, checkpoint, now);
        self.running.insert(task, active);
        self.emit(task, start.run, start.epoch, Transition::Started, now);
        Ok(Self::clock())
    }

    pub(super) fn stop(&mut self, call: &Stop) -> Result<Clock> {
        self.check(Some(&call.incarnation), call.epoch)?;
        self.advance();
        self.close(call.task, call.run);
        if self.running.get(&call.task).is_some_and(|active| active.number() <= call.run) {
            self.end(call.task, ExitReason::Stopped, Monotonic.now());
        }
        Ok(Self::clock())
    }

    pub(super) fn pace(&mut self, call: &Pace) -> Result<Clock> {
        self.check(Some(&call.incarnation), call.epoch)?;
        let now = Monotonic.now();
        if let Some(active) = self.running.get_mut(&call.task)
            && active.number() == call.run
        {
            active.set_pace(call.percent, now);
        }
        Ok(Self::clock())
    }

    /// Renews the lease and removes the confirmed ends, as a poll requests.
    pub(super) fn poll(&mut self, call: &Poll) -> Result<()> {
        self.check(call.incarnation.as_ref(), call.epoch)?;
        self.advance();
        if let Some(lease_ms) = call.lease_ms {
            self.renew(lease_ms);
        }
        while self.ends.front().is_some_and(|unconfirmed| unconfirmed.end.number <= call.recorded) {
            let Some(Unconfirmed { end, epoch, lapsed }) = self.ends.pop_front() else { break };
            if !lapsed {
                self.emit(
                    end.task,
                    end.run,
                    epoch,
                    Transition::Confirmed(end.reason),
                    Monotonic.now(),
                );
            }
        }
        Ok(())
    }

    pub(super) fn lists(&mut self) -> Lists {
        self.advance();
        let now = Monotonic.now();
        let ends =
            self.ends.iter().take(Lists::MAX_ENDS).map(|unconfirmed| unconfirmed.end.clone());
        let running = self.running.iter().map(|(task, active)| active.report(*task, now));
        Lists {
            incarnation: self.profile.incarnation.clone(),
            clock_ms: now.as_micros() / 1_000,
            running: Received::new(running, false),
            ends: Received::new(ends, self.ends.len() >= Lists::MAX_ENDS),
        }
    }

    pub(super) fn events(&self, after: u64) -> (u64, Vec<Event>) {
        let wanted = |event: &&Event| event.number > after;
        (self.profile.incarnation.started_ms, self.events.iter().filter(wanted).cloned().collect())
    }
}

use super::held::Held;
use super::{Behavior, Event, Result, Transition};
use shallotflow_core::graph::Task;
use shallotflow_core::settings::standin::Settings;
use shallotflow_core::time::{Clock as _, Monotonic, Time};
use shallotflow_policy::plan::message::{End, ExitReason, Incarnation, Profile, Status};
use shallotflow_runtime::clock::{wall_ms, wall_us};
use shallotflow_scheduler::agent::{Error, Lists};
use shallotflow_scheduler::runs::{Clock, Pace, Poll, Start, Stop};
use std::collections::{BTreeMap, VecDeque};

/// Most ends in one answer.
const ENDS_PER_ANSWER: usize = 500;
/// Most facts that are kept for whoever reads them.
const FACTS_KEPT: usize = 100_000;

/// An end that was not confirmed yet.
struct Listed {
    end: End,
    epoch: u64,
    /// Whether the lease has ended since, so that the task may have started elsewhere.
    lapsed: bool,
}

/// One life of a worker.
pub(super) struct State {
    profile: Profile,
    epoch: u64,
    /// When everything that runs is killed.
    lease: Time,
    running: BTreeMap<Task, Held>,
    ends: VecDeque<Listed>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    closed: BTreeMap<Task, u32>,
    facts: VecDeque<Event>,
    last_fact: u64,
    print: bool,
}

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        let lifetime = Incarnation { id: settings.worker.clone(), started_ms: wall_ms() };
        Self {
            profile: Profile {
                incarnation: lifetime,
                service: settings.service.clone(),
                capacity: settings.capacity,
                labels: settings.labels.clone(),
                rack: settings.labels.get(1).cloned(),
                status: Status::Ready,
            },
            epoch: 0,
            lease: Time::ZERO,
            running: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            facts: VecDeque::new(),
            last_fact: 0,
            print: settings.print_facts,
        }
    }

    pub(super) fn profile(&self) -> Profile {
        self.profile.clone()
    }

    /// The worker leaves: it says so, and goes on with what it runs.
    pub(super) fn leave(&mut self, remaining_ms: u64) {
        self.profile.status = Status::Draining { remaining_ms };
    }

    pub(super) fn last_end(&self) -> u64 {
        self.last_end
    }

    fn check(&mut self, lifetime: Option<&Incarnation>, epoch: u64) -> Result<()> {
        if lifetime.is_some_and(|meant| *meant != self.profile.incarnation) {
            return Err(Error::OtherIncarnation);
        }
        if epoch < self.epoch {
            return Err(Error::Fenced);
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Ends what is done, and everything when the lease has ended.
    ///
    /// The process may have slept past the end of the lease; no work was done after it.
    pub(super) fn advance(&mut self) {
        let now = Monotonic.now();
        let lapsed = self.lease.passed(now);
        let at = self.lease.min(now);
        let ending: Vec<(Task, ExitReason)> = self
            .running
            .iter()
            .filter_map(|(task, held)| match held.outcome(at) {
                Some(true) => Some((*task, ExitReason::Done)),
                Some(false) => Some((*task, ExitReason::Failed)),
                None => lapsed.then_some((*task, ExitReason::Lapsed)),
            })
            .collect();
        for (task, how) in ending {
            self.end(task, how, at);
        }
        if lapsed {
            for listed in &mut self.ends {
                listed.lapsed = true;
            }
        }
    }

    fn end(&mut self, task: Task, how: ExitReason, at: Time) {
        let Some(held) = self.running.remove(&task) else { return };
        self.last_end += 1;
        let (run, epoch) = (held.number(), held.epoch);
        let checkpoint = held.checkpoint(at);
        let end = End { number: self.last_end, task, run, reason: how, checkpoint };
        self.ends.push_back(Listed { end, epoch, lapsed: false });
        self.close(task, run);
        self.note(task, run, epoch, Transition::Ended(how), at);
    }

    fn close(&mut self, task: Task, run: u32) {
        let closed = self.closed.entry(task).or_default();
        *closed = run.max(*closed);
    }

    fn note(&mut self, task: Task, run: u32, epoch: u64, transition: Transition, at: Time) {
        self.last_fact += 1;
        let past = Monotonic.now().since(at).as_micros();
        let unix_us = wall_us().saturating_sub(u64::try_from(past).unwrap_or(u64::MAX));
        let fact = Event { number: self.last_fact, unix_us, task, run, epoch, transition };
        if self.print {
            // Fails for no fact: all its keys are strings.
            println!("{}", serde_json::to_string(&fact).unwrap_or_default());
        }
        self.facts.push_back(fact);
        if self.facts.len() > FACTS_KEPT {
            self.facts.pop_front();
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
        if self.running.get(&task).is_some_and(|held| held.number() == start.run) {
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
        let behavior = Behavior::of(&start.text, task.step);
        let checkpoint = start.checkpoint.as_ref();
        let run = (task.index, start.run);
        let held = Held::new(behavior, run, start.epoch, checkpoint, now);
        self.running.insert(task, held);
        self.note(task, start.run, start.epoch, Transition::Started, now);
        Ok(Self::clock())
    }

    pub(super) fn stop(&mut self, call: &Stop) -> Result<Clock> {
        self.check(Some(&call.incarnation), call.epoch)?;
        self.advance();
        self.close(call.task, call.run);
        if self.running.get(&call.task).is_some_and(|held| held.number() <= call.run) {
            self.end(call.task, ExitReason::Stopped, Monotonic.now());
        }
        Ok(Self::clock())
    }

    pub(super) fn pace(&mut self, call: &Pace) -> Result<Clock> {
        self.check(Some(&call.incarnation), call.epoch)?;
        let now = Monotonic.now();
        if let Some(held) = self.running.get_mut(&call.task)
            && held.number() == call.run
        {
            held.set_pace(call.percent, now);
        }
        Ok(Self::clock())
    }

    /// Takes the orders of a look; its answer may wait.
    pub(super) fn poll(&mut self, call: &Poll) -> Result<()> {
        self.check(call.incarnation.as_ref(), call.epoch)?;
        self.advance();
        if let Some(lease_ms) = call.lease_ms {
            self.renew(lease_ms);
        }
        while self.ends.front().is_some_and(|listed| listed.end.number <= call.recorded) {
            let Some(Listed { end, epoch, lapsed }) = self.ends.pop_front() else { break };
            if !lapsed {
                self.note(
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
        let ends = self.ends.iter().take(ENDS_PER_ANSWER).map(|listed| listed.end.clone());
        Lists {
            incarnation: self.profile.incarnation.clone(),
            clock_ms: now.as_micros() / 1_000,
            running: self.running.iter().map(|(task, held)| held.report(*task, now)).collect(),
            ends: ends.collect(),
        }
    }

    pub(super) fn facts(&self, after: u64) -> (u64, Vec<Event>) {
        let known = |fact: &&Event| fact.number > after;
        (self.profile.incarnation.started_ms, self.facts.iter().filter(known).cloned().collect())
    }
}

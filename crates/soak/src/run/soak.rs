use super::Summary;
use super::action::Action;
use crate::child::{Child, WorkerEvent};
use crate::fault::{Fault, Injection};
use crate::load::{self, Caller};
use crate::operator::Operator;
use crate::oracle;
use crate::testbed::{ENTRIES, Testbed};
use futures_channel::mpsc::UnboundedReceiver;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use shallotflow_core::graph::{Id, State};
use shallotflow_runtime::clock::wall_us;
use shallotflow_runtime::stop::{Level, Stop};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Interval at which due actions, worker events and process exits are handled.
const TICK: Duration = Duration::from_millis(20);
/// Mean interval between two submissions.
const MEAN_JOB_INTERVAL: Duration = Duration::from_millis(150);
/// Mean interval between two queries.
const MEAN_QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum delay before a job is cancelled; a long-running job is always cancelled.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(6);
/// Time after the last fault within which all jobs must end. It covers leases of 6 s, the settling
/// of a table, restarts and the backlog of work.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time that a process takes to stop when asked to: its drain of 2 s after the linger.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum time after a pause, in microseconds, until a worker notices that its leases have expired.
const LEASE_CHECK_DELAY_US: u64 = 100_000;

/// A soak in progress.
pub(super) struct Soak {
    pub(super) testbed: Testbed,
    caller: Caller,
    operator: Operator,
    events: UnboundedReceiver<WorkerEvent>,
    actions: BTreeMap<(Instant, u64), Action>,
    action_count: u64,
    /// Processes that were asked to stop, with the deadline.
    stopping: BTreeMap<usize, Instant>,
    /// When each paused process was last paused and resumed, in microseconds since the Unix epoch;
    /// the second time is in the far future while the process is paused.
    paused: BTreeMap<usize, (u64, u64)>,
    pub(super) summary: Summary,
}

impl Soak {
    /// A soak whose processes do not run yet; `events` is what workers print.
    pub(super) fn new(
        testbed: Testbed,
        caller: Caller,
        operator: Operator,
        events: UnboundedReceiver<WorkerEvent>,
        summary: Summary,
    ) -> Self {
        Self {
            testbed,
            caller,
            operator,
            events,
            actions: BTreeMap::new(),
            action_count: 0,
            stopping: BTreeMap::new(),
            paused: BTreeMap::new(),
            summary,
        }
    }

    pub(super) fn schedule(&mut self, at: Instant, action: Action) {
        self.action_count += 1;
        self.actions.insert((at, self.action_count), action);
    }

    fn child(&mut self, process: usize) -> Option<&mut Child> {
        self.testbed.all().nth(process)
    }

    /// The index of the worker that runs as `process`, if it is a worker.
    fn worker(&self, process: usize) -> Option<usize> {
        let first = 1 + self.testbed.entries.len();
        process.checked_sub(first).filter(|worker| *worker < self.testbed.workers.len())
    }

    /// Applies the load and the faults until `end`.
    pub(super) async fn load(
        &mut self,
        rng: &mut SmallRng,
        end: Instant,
        stop: &Stop,
    ) -> anyhow::Result<()> {
        let (mut next_job, mut next_query) = (Instant::now(), Instant::now());
        let mut ids: Vec<Id> = Vec::new();
        while Instant::now() < end && stop.level() == Level::Run {
            let now = Instant::now();
            if now >= next_job {
                next_job = now + MEAN_JOB_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
                let id = Id(rng.random());
                ids.push(id);
                self.submit(rng, id);
            }
            if now >= next_query && !ids.is_empty() {
                next_query = now + MEAN_QUERY_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
                let caller = self.caller.clone();
                let recent = ids.len().saturating_sub(80);
                let id = ids[rng.random_range(recent..ids.len())];
                let entry = rng.random_range(0..ENTRIES);
                monoio::spawn(async move { caller.query(id, entry).await });
            }
            self.tick()?;
            monoio::time::sleep(TICK).await;
        }
        Ok(())
    }

    fn submit(&self, rng: &mut SmallRng, id: Id) {
        let spec = load::random_spec(rng);
        let entry = rng.random_range(0..ENTRIES);
        let cancelled = spec.is_long_running() || rng.random_range(0..15) == 0;
        let after = MAX_CANCEL_DELAY.mul_f64(rng.random_range(0.0..1.0));
        let caller = self.caller.clone();
        monoio::spawn(async move {
            caller.submit(id, spec, false, entry).await;
            if cancelled {
                monoio::time::sleep(after).await;
                caller.cancel(id, entry + 1).await;
            }
        });
    }

    /// Performs due actions, collects worker events and checks for exited processes.
    fn tick(&mut self) -> anyhow::Result<()> {
        while let Some((&(at, number), &action)) = self.actions.first_key_value() {
            if at > Instant::now() {
                break;
            }
            self.actions.remove(&(at, number));
            self.perform(action)?;
        }
        self.collect_events();
        self.check_exits();
        Ok(())
    }

    fn collect_events(&mut self) {
        while let Ok((worker, event)) = self.events.try_recv() {
            self.caller.history.borrow_mut().apply_event(worker, &event);
        }
    }

    /// Records exited processes; restarts those that were not asked to stop and reports a violation.
    fn check_exits(&mut self) {
        let stopping: BTreeSet<usize> = self.stopping.keys().copied().collect();
        let mut ended = Vec::new();
        for (process, child) in self.testbed.all().enumerate() {
            if let Some(status) = child.take_exit_status() {
                ended.push((process, child.name.clone(), status));
            }
        }
        for (process, name, status) in ended {
            self.record_exit(process, wall_us());
            if !stopping.contains(&process) {
                let violation = format!("{name} exited by itself: {status}");
                self.summary.violations.insert(violation);
                self.schedule(Instant::now(), Action::Start(process));
            }
        }
    }

    /// Records the exit of a process; the runs of a worker end with it.
    fn record_exit(&mut self, process: usize, at: u64) {
        let Some(worker) = self.worker(process) else { return };
        self.collect_events();
        let at = match self.paused.get(&process) {
            // It ran nothing while it was paused, nor between the resumption and its lease check.
            Some((from, until)) if at < until + LEASE_CHECK_DELAY_US => *from,
            _ => at,
        };
        self.caller.history.borrow_mut().record_worker_exit(worker, at);
    }

    fn perform(&mut self, action: Action) -> anyhow::Result<()> {
        let now = Instant::now();
        match action {
            Action::Inject(injection) => self.inject(injection),
            Action::Start(process) => match self.stopping.get(&process).copied() {
                Some(deadline) if self.child(process).is_some_and(|child| child.is_started()) => {
                    if now > deadline {
                        let name = self.child(process).map(|child| child.name.clone());
                        let violation = format!("{} did not stop", name.unwrap_or_default());
                        self.summary.violations.insert(violation);
                        self.kill(process);
                    }
                    self.schedule(now + TICK, action);
                }
                _ => {
                    self.stopping.remove(&process);
                    if let Some(child) = self.child(process) {
                        child.start()?;
                    }
                }
            },
            Action::Resume(process) => {
                if let Some(paused) = self.paused.get_mut(&process) {
                    paused.1 = wall_us();
                }
                if let Some(child) = self.child(process) {
                    child.signal(Signal::CONT);
                }
            }
            Action::SubmitLasting(number) => {
                let caller = self.caller.clone();
                let id = Id(u64::MAX - u64::from(number));
                let spec = load::lasting_spec(number + 1);
                monoio::spawn(async move { caller.submit(id, spec, true, number as usize).await });
            }
            Action::Restore(link) => {
                let (_, link) = &self.testbed.links[link];
                link.set_delay(Duration::ZERO);
                link.set_silent(false, false);
            }
        }
        Ok(())
    }

    fn kill(&mut self, process: usize) {
        let killed = self.child(process).and_then(Child::kill);
        if let Some(at) = killed {
            self.record_exit(process, at);
        }
    }

    fn inject(&mut self, injection: Injection) {
        let Injection { duration, fault, .. } = injection;
        *self.summary.faults.entry(fault.kind()).or_default() += 1;
        let ends_at = Instant::now() + duration;
        match fault {
            Fault::Kill(process) => {
                self.kill(process);
                self.schedule(ends_at, Action::Start(process));
            }
            Fault::Stop(process) => {
                if let Some(child) = self.child(process) {
                    child.signal(Signal::TERM);
                    child.signal(Signal::CONT);
                }
                let deadline = Instant::now() + STOP_TIMEOUT;
                self.stopping.entry(process).or_insert(deadline);
                self.schedule(ends_at, Action::Start(process));
            }
            Fault::Pause(process) => {
                if let Some(child) = self.child(process) {
                    child.signal(Signal::STOP);
                }
                let still_paused = u64::MAX - LEASE_CHECK_DELAY_US;
                let known = self.paused.get(&process).filter(|(_, until)| *until == still_paused);
                let from = known.map_or_else(wall_us, |(from, _)| *from);
                self.paused.insert(process, (from, still_paused));
                self.schedule(ends_at, Action::Resume(process));
            }
            Fault::Delay(link, delay) => {
                self.testbed.links[link].1.set_delay(delay);
                self.schedule(ends_at, Action::Restore(link));
            }
            Fault::Evacuate(domain) => {
                monoio::spawn(self.operator.clone().evacuate(domain, duration));
            }
            Fault::Reset(link) => self.testbed.links[link].1.reset(),
            Fault::LoseOpen(link) => self.testbed.links[link].1.lose_open(),
            Fault::Silence(link, forward, backward) => {
                self.testbed.links[link].1.set_silent(forward, backward);
                self.schedule(ends_at, Action::Restore(link));
            }
        }
    }

    /// Stops injecting faults and waits until every job has ended.
    pub(super) async fn settle(&mut self, stop: &Stop) -> anyhow::Result<()> {
        self.actions.retain(|_, action| !matches!(action, Action::Inject(_)));
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut entry = 0;
        loop {
            self.tick()?;
            let unfinished = self.unfinished_jobs();
            if stop.level() > Level::Run || (unfinished.is_empty() && self.actions.is_empty()) {
                return Ok(());
            }
            if Instant::now() > deadline {
                for id in unfinished {
                    let state = self.caller.history.borrow().jobs[&id].last_state;
                    let lasting = self.caller.history.borrow().jobs[&id].lasting;
                    let what = if lasting { "does not run as a whole" } else { "has not ended" };
                    let violation = format!("job {id} {what} after the faults: {state:?}");
                    self.summary.violations.insert(violation);
                }
                return Ok(());
            }
            for id in unfinished.into_iter().take(40) {
                entry += 1;
                let caller = self.caller.clone();
                monoio::spawn(async move { caller.query(id, entry).await });
            }
            monoio::time::sleep(TICK * 10).await;
        }
    }

    /// Accepted jobs that have not ended or still have running tasks, and lasting jobs that do not run.
    fn unfinished_jobs(&self) -> Vec<Id> {
        let history = self.caller.history.borrow();
        let accepted = history.jobs.iter().filter(|(_, job)| job.accepted);
        accepted.filter(|(id, job)| !history.is_settled(**id, job)).map(|(id, _)| *id).collect()
    }

    /// Kills all processes and checks the guarantees.
    pub(super) fn finish(mut self) -> Summary {
        self.collect_events();
        for child in self.testbed.all() {
            child.kill();
        }
        let history = self.caller.history.borrow();
        let accepted = history.jobs.values().filter(|job| job.accepted);
        for job in accepted {
            self.summary.jobs += 1;
            let state = job.last_state.map_or("unknown", State::as_str);
            *self.summary.ended.entry(state).or_default() += 1;
        }
        self.summary.evacuations = history.evacuations.len();
        self.summary.runs = history.runs.values().map(Vec::len).sum();
        if !self.summary.interrupted {
            self.summary.violations.extend(oracle::check(&history));
        }
        drop(history);
        self.summary
    }
}

use super::Summary;
use super::due::Due;
use crate::child::{Child, Said};
use crate::fault::{Fault, Planned};
use crate::floor::{ENTRIES, Floor};
use crate::load::{self, Caller};
use crate::oracle;
use futures_channel::mpsc::UnboundedReceiver;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use shallotflow_core::graph::{Id, State};
use shallotflow_runtime::clock::wall_us;
use shallotflow_runtime::stop::{Level, Stop};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Mean time between two jobs.
const JOBS_EVERY: Duration = Duration::from_millis(150);
/// Mean time between two questions for a job.
const ASKS_EVERY: Duration = Duration::from_millis(60);
/// How long a lasting job lasts at most before it is cancelled.
const LASTS: Duration = Duration::from_secs(6);
/// How long after the last fault all jobs have to have ended: leases of 6 s and a table's settling,
/// restarts and the work that has piled up.
const SETTLE: Duration = Duration::from_secs(60);
/// How long a process may take to stop when it is told to: its drain of 2 s and the linger before.
const STOPS_WITHIN: Duration = Duration::from_secs(6);
/// After a pause a worker may not have noticed for this long that its leases have ended.
const NOTICES_WITHIN: u64 = 100_000;

/// A soak while it goes on.
pub(super) struct Soak {
    pub(super) floor: Floor,
    caller: Caller,
    facts: UnboundedReceiver<Said>,
    due: BTreeMap<(Instant, u64), Due>,
    numbered: u64,
    /// Processes that were told to stop, with when they have to have done so.
    stopping: BTreeMap<usize, Instant>,
    /// When paused processes were paused and went on, microseconds since 1970.
    paused: BTreeMap<usize, (u64, u64)>,
    pub(super) summary: Summary,
}

impl Soak {
    /// A soak whose processes do not run yet; `facts` is what workers print.
    pub(super) fn new(
        floor: Floor,
        caller: Caller,
        facts: UnboundedReceiver<Said>,
        summary: Summary,
    ) -> Self {
        Self {
            floor,
            caller,
            facts,
            due: BTreeMap::new(),
            numbered: 0,
            stopping: BTreeMap::new(),
            paused: BTreeMap::new(),
            summary,
        }
    }

    pub(super) fn plan(&mut self, at: Instant, due: Due) {
        self.numbered += 1;
        self.due.insert((at, self.numbered), due);
    }

    fn child(&mut self, process: usize) -> Option<&mut Child> {
        self.floor.all().nth(process)
    }

    /// The worker that the process numbered `process` is, if it is one.
    fn worker(&self, process: usize) -> Option<usize> {
        let first = 1 + self.floor.entries.len();
        process.checked_sub(first).filter(|worker| *worker < self.floor.workers.len())
    }

    /// Plays the load and the faults until `end`.
    pub(super) async fn load(
        &mut self,
        rng: &mut SmallRng,
        end: Instant,
        stop: &Stop,
    ) -> anyhow::Result<()> {
        let (mut next_job, mut next_ask) = (Instant::now(), Instant::now());
        let mut ids: Vec<Id> = Vec::new();
        while Instant::now() < end && stop.level() == Level::Run {
            let now = Instant::now();
            if now >= next_job {
                next_job = now + JOBS_EVERY.mul_f64(rng.random_range(0.2..1.8));
                let id = Id(rng.random());
                ids.push(id);
                self.submit(rng, id);
            }
            if now >= next_ask && !ids.is_empty() {
                next_ask = now + ASKS_EVERY.mul_f64(rng.random_range(0.2..1.8));
                let caller = self.caller.clone();
                let recent = ids.len().saturating_sub(80);
                let id = ids[rng.random_range(recent..ids.len())];
                let entry = rng.random_range(0..ENTRIES);
                monoio::spawn(async move { caller.ask(id, entry).await });
            }
            self.tick()?;
            monoio::time::sleep(TICK).await;
        }
        Ok(())
    }

    fn submit(&self, rng: &mut SmallRng, id: Id) {
        let spec = load::draw(rng);
        let entry = rng.random_range(0..ENTRIES);
        let cancelled = spec.is_long_running() || rng.random_range(0..15) == 0;
        let after = LASTS.mul_f64(rng.random_range(0.0..1.0));
        let caller = self.caller.clone();
        monoio::spawn(async move {
            caller.submit(id, spec, entry).await;
            if cancelled {
                monoio::time::sleep(after).await;
                caller.cancel(id, entry + 1).await;
            }
        });
    }

    /// Does what is due, and takes in what workers say.
    fn tick(&mut self) -> anyhow::Result<()> {
        while let Some((&(at, number), &due)) = self.due.first_key_value() {
            if at > Instant::now() {
                break;
            }
            self.due.remove(&(at, number));
            self.act(due)?;
        }
        self.hear();
        self.watch();
        Ok(())
    }

    fn hear(&mut self) {
        while let Ok((worker, fact)) = self.facts.try_recv() {
            self.caller.book.borrow_mut().hear(worker, &fact);
        }
    }

    /// Notes processes that have ended without having been told to.
    fn watch(&mut self) {
        let stopping: BTreeSet<usize> = self.stopping.keys().copied().collect();
        let mut ended = Vec::new();
        for (process, child) in self.floor.all().enumerate() {
            if let Some(status) = child.ended() {
                ended.push((process, child.name.clone(), status));
            }
        }
        for (process, name, status) in ended {
            self.gone(process, wall_us());
            if !stopping.contains(&process) {
                let broken = format!("{name} ended by itself: {status}");
                self.summary.violations.insert(broken);
                self.plan(Instant::now(), Due::Start(process));
            }
        }
    }

    /// A process has ended; a worker took all with it that it ran.
    fn gone(&mut self, process: usize, at: u64) {
        let Some(worker) = self.worker(process) else { return };
        self.hear();
        let at = match self.paused.get(&process) {
            // It ran nothing while it stood still, nor before it looked at its leases.
            Some((from, until)) if at < until + NOTICES_WITHIN => *from,
            _ => at,
        };
        self.caller.book.borrow_mut().lose(worker, at);
    }

    fn act(&mut self, due: Due) -> anyhow::Result<()> {
        let now = Instant::now();
        match due {
            Due::Strike(planned) => self.strike(planned),
            Due::Start(process) => match self.stopping.get(&process).copied() {
                Some(deadline) if self.child(process).is_some_and(|child| child.is_up()) => {
                    if now > deadline {
                        let name = self.child(process).map(|child| child.name.clone());
                        let broken = format!("{} did not stop", name.unwrap_or_default());
                        self.summary.violations.insert(broken);
                        self.kill(process);
                    }
                    self.plan(now + TICK, due);
                }
                _ => {
                    self.stopping.remove(&process);
                    if let Some(child) = self.child(process) {
                        child.start()?;
                    }
                }
            },
            Due::Continue(process) => {
                if let Some(paused) = self.paused.get_mut(&process) {
                    paused.1 = wall_us();
                }
                if let Some(child) = self.child(process) {
                    child.signal(Signal::CONT);
                }
            }
            Due::Heal(link) => {
                let (_, link) = &self.floor.links[link];
                link.set_delay(Duration::ZERO);
                link.set_silent(false, false);
            }
        }
        Ok(())
    }

    fn kill(&mut self, process: usize) {
        let killed = self.child(process).and_then(Child::kill);
        if let Some(at) = killed {
            self.gone(process, at);
        }
    }

    fn strike(&mut self, planned: Planned) {
        let Planned { lasts, fault, .. } = planned;
        *self.summary.faults.entry(fault.kind()).or_default() += 1;
        let over = Instant::now() + lasts;
        match fault {
            Fault::Kill(process) => {
                self.kill(process);
                self.plan(over, Due::Start(process));
            }
            Fault::Stop(process) => {
                if let Some(child) = self.child(process) {
                    child.signal(Signal::TERM);
                    child.signal(Signal::CONT);
                }
                let deadline = Instant::now() + STOPS_WITHIN;
                self.stopping.entry(process).or_insert(deadline);
                self.plan(over, Due::Start(process));
            }
            Fault::Pause(process) => {
                if let Some(child) = self.child(process) {
                    child.signal(Signal::STOP);
                }
                let still = u64::MAX - NOTICES_WITHIN;
                let known = self.paused.get(&process).filter(|(_, until)| *until == still);
                let from = known.map_or_else(wall_us, |(from, _)| *from);
                self.paused.insert(process, (from, still));
                self.plan(over, Due::Continue(process));
            }
            Fault::Delay(link, delay) => {
                self.floor.links[link].1.set_delay(delay);
                self.plan(over, Due::Heal(link));
            }
            Fault::Reset(link) => self.floor.links[link].1.reset(),
            Fault::Silence(link, there, back) => {
                self.floor.links[link].1.set_silent(there, back);
                self.plan(over, Due::Heal(link));
            }
        }
    }

    /// Ends all faults and waits until every job has ended.
    pub(super) async fn settle(&mut self, stop: &Stop) -> anyhow::Result<()> {
        self.due.retain(|_, due| !matches!(due, Due::Strike(_)));
        let deadline = Instant::now() + SETTLE;
        let mut entry = 0;
        loop {
            self.tick()?;
            let open = self.open();
            if stop.level() > Level::Run || (open.is_empty() && self.due.is_empty()) {
                return Ok(());
            }
            if Instant::now() > deadline {
                for id in open {
                    let state = self.caller.book.borrow().orders[&id].shown;
                    let broken = format!("job {id} has not ended after the faults: {state:?}");
                    self.summary.violations.insert(broken);
                }
                return Ok(());
            }
            for id in open.into_iter().take(40) {
                entry += 1;
                let caller = self.caller.clone();
                monoio::spawn(async move { caller.ask(id, entry).await });
            }
            monoio::time::sleep(TICK * 10).await;
        }
    }

    /// Jobs that have not ended, or of which something runs after their end.
    fn open(&self) -> Vec<Id> {
        let book = self.caller.book.borrow();
        let ended =
            |id: &Id| book.orders[id].shown.is_some_and(State::is_final) && !book.is_running(*id);
        let accepted = book.orders.iter().filter(|(_, order)| order.accepted);
        accepted.map(|(id, _)| *id).filter(|id| !ended(id)).collect()
    }

    /// Ends all processes and checks what is known.
    pub(super) fn finish(mut self) -> Summary {
        self.hear();
        for child in self.floor.all() {
            child.kill();
        }
        let book = self.caller.book.borrow();
        let accepted = book.orders.values().filter(|order| order.accepted);
        for order in accepted {
            self.summary.jobs += 1;
            let state = order.shown.map_or("unknown", State::as_str);
            *self.summary.ended.entry(state).or_default() += 1;
        }
        self.summary.runs = book.runs.values().map(Vec::len).sum();
        if !self.summary.interrupted {
            self.summary.violations.extend(oracle::check(&book));
        }
        drop(book);
        self.summary
    }
}

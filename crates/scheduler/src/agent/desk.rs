//! What the agent knows and owes; no I/O and no clock.

use super::{Error, Lists, Settings};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use shallotflow_policy::plan::message::{
    Answer, End, Incarnation, Order, Outcome, Profile, Reply, Report, Run, Status, Traits,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A run by its task and number.
pub type Key = (Task, u32);

/// Ends that one list holds at most.
const ENDS_PER_LIST: usize = 500;
/// Reports whose sending times are kept, so that their replies can be matched.
const SENT_KEPT: usize = 64;
/// Looks in a row that have to find nothing listening before the worker counts as gone.
const VACANT_LOOKS: u32 = 2;
/// Margin on the end of a lease, for the time that a call is under way.
const LEASE_MARGIN: Duration = Duration::from_millis(60);

/// A run at the worker.
pub struct Held {
    /// The run as the worker listed it last.
    pub run: Run,
    /// What is known of its step.
    pub traits: Traits,
    started: Time,
}

/// Something that has to reach the owner.
struct Owed<T> {
    item: T,
    /// The first report that carried it.
    first: Option<u64>,
    confirmed: bool,
}

/// The agent's table.
pub struct Desk {
    settings: Settings,
    agent: Name,
    process: u64,
    epoch: u64,
    sequence: u64,
    profile: Option<Profile>,
    registration: u64,
    leaves: Option<Time>,
    left: bool,
    lifetime: Option<Incarnation>,
    running: BTreeMap<Key, Held>,
    ends: BTreeMap<u64, Owed<End>>,
    answers: Vec<Owed<Answer>>,
    received: u64,
    recorded: u64,
    sent: VecDeque<(u64, Time)>,
    authorised: Time,
    granted: Time,
    offset_ms: Option<i64>,
    failures: u32,
    /// Looks in a row that found no worker at the address.
    vacant: u32,
    complete: bool,
    listed: Option<Time>,
    /// Runs that are withdrawn, with when the worker confirmed the stop.
    withdrawn: BTreeMap<Key, Option<Time>>,
    /// What is known of runs that were ordered, for their pace.
    traits: BTreeMap<Key, Traits>,
    rates: Rates,
}

impl Desk {
    /// A desk of the agent named `agent`; `process` tells its processes apart.
    pub fn new(settings: Settings, agent: Name, process: u64, now: Time) -> Self {
        // A former process of the agent may have renewed leases just before it ended.
        let granted = now.after(settings.lease * (100 + settings.drift_percent) / 100);
        Self {
            settings,
            agent,
            process,
            epoch: 0,
            sequence: 0,
            profile: None,
            registration: 0,
            leaves: None,
            left: false,
            lifetime: None,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            answers: Vec::new(),
            received: 0,
            recorded: 0,
            sent: VecDeque::new(),
            authorised: Time::ZERO,
            granted,
            offset_ms: None,
            failures: 0,
            vacant: 0,
            complete: false,
            listed: None,
            withdrawn: BTreeMap::new(),
            traits: BTreeMap::new(),
            rates: Rates::default(),
        }
    }

    /// The number of the owner that is obeyed; 0 before one is found.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The life of the worker that is known.
    pub fn lifetime(&self) -> Option<&Incarnation> {
        self.lifetime.as_ref()
    }

    /// Ends up to this number are recorded; the worker may forget them.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Whether the lists were read since the owner that is obeyed was found.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether something runs or is being withdrawn.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty() || !self.withdrawn.is_empty()
    }

    /// What runs.
    pub fn running(&self) -> &BTreeMap<Key, Held> {
        &self.running
    }

    /// How images disturb each other, as the owner said.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Processors of the worker, thousandths.
    pub fn millicores(&self) -> u32 {
        self.profile.as_ref().map_or(1, |profile| profile.capacity.millicores.max(1))
    }

    /// Whether the run is being withdrawn.
    pub fn is_withdrawn(&self, key: &Key) -> bool {
        self.withdrawn.contains_key(key)
    }

    /// Whether the worker takes new tasks.
    pub fn takes_tasks(&self) -> bool {
        self.profile.as_ref().is_some_and(|profile| profile.status == Status::Ready)
    }

    /// Takes a registration of the worker in; `false` when it is older than what is known.
    pub fn register(&mut self, profile: Profile, registration: u64, now: Time) -> bool {
        let older = self
            .lifetime
            .as_ref()
            .is_some_and(|own| own.started_ms > profile.incarnation.started_ms);
        let same = self.lifetime.as_ref() == Some(&profile.incarnation);
        if older || (same && registration <= self.registration) {
            return false;
        }
        if !same {
            self.begin(profile.incarnation.clone());
        }
        self.lifetime = Some(profile.incarnation.clone());
        self.vacant = 0;
        self.leaves = match profile.status {
            Status::Draining { remaining_ms } => {
                Some(now.after(Duration::from_millis(remaining_ms)))
            }
            _ => None,
        };
        self.registration = registration;
        self.profile = Some(profile);
        true
    }

    /// The worker as it registered last.
    pub fn registered(&self) -> Option<(Incarnation, Status)> {
        let profile = self.profile.as_ref()?;
        Some((profile.incarnation.clone(), profile.status))
    }

    /// The worker `id` has said that it leaves now; `false` when it is another one.
    pub fn deregister(&mut self, id: &str) -> bool {
        let own = self.lifetime.as_ref().is_some_and(|own| &*own.id == id);
        self.left |= own;
        own
    }

    /// The state, for operators.
    pub fn dump(&self, now: Time) -> serde_json::Value {
        serde_json::json!({
            "agent": &*self.agent,
            "epoch": self.epoch,
            "worker": self.profile(now),
            "running": self.running.values().map(|held| &held.run).collect::<Vec<_>>(),
            "ends": self.ends.len(),
            "recorded": self.recorded,
            "complete": self.complete,
            "authorised_left_ms": self.authorised.remaining(now).as_millis(),
            "lease_left_ms": self.granted.remaining(now).as_millis(),
        })
    }

    /// Another life of the worker began; it holds and knows nothing of before.
    fn begin(&mut self, lifetime: Incarnation) {
        let first = self.lifetime.is_none();
        if let Some(profile) = &mut self.profile {
            profile.incarnation = lifetime.clone();
            profile.status = Status::Ready;
        }
        self.lifetime = Some(lifetime);
        self.registration = 0;
        self.leaves = None;
        self.left = false;
        self.offset_ms = None;
        self.failures = 0;
        self.listed = None;
        if !first {
            self.running.clear();
            self.ends.clear();
            self.recorded = 0;
            self.granted = Time::ZERO;
            self.complete = false;
        }
    }

    /// The end of the lease that may be given now, on the worker's clock, milliseconds.
    pub fn lease_ms(&mut self, now: Time) -> Option<u64> {
        let offset = self.offset_ms?;
        if self.authorised.passed(now) {
            return None;
        }
        let left = self.authorised.remaining(now);
        let drift = left * self.settings.drift_percent / 100;
        self.granted = self.granted.max(self.authorised.after(drift).after(LEASE_MARGIN));
        let own = i64::try_from(self.authorised.as_millis()).unwrap_or(i64::MAX);
        u64::try_from(own.saturating_add(offset)).ok()
    }

    /// Takes the worker's lists in; `sent` is when they were asked for, `epoch` for which owner.
    pub fn looked(&mut self, lists: Lists, epoch: u64, sent: Time, now: Time) {
        if self.lifetime.as_ref() != Some(&lists.incarnation) {
            let older = |own: &Incarnation| own.started_ms > lists.incarnation.started_ms;
            if self.lifetime.as_ref().is_some_and(older) {
                return;
            }
            self.begin(lists.incarnation.clone());
        }
        self.failures = 0;
        self.vacant = 0;
        self.heard_clock(lists.clock_ms, now);
        let page_full = lists.ends.len() >= ENDS_PER_LIST;
        for end in lists.ends {
            if end.number <= self.recorded {
                continue;
            }
            self.running.remove(&(end.task, end.run));
            self.traits.remove(&(end.task, end.run));
            self.withdrawn.remove(&(end.task, end.run));
            let owed = |end| Owed { item: end, first: None, confirmed: false };
            self.ends.entry(end.number).or_insert_with(|| owed(end));
        }
        let recorded = self.recorded;
        self.ends.retain(|number, _| *number > recorded);
        self.take_running(lists.running, sent);
        let gone: Vec<Key> = self
            .withdrawn
            .iter()
            .filter(|(key, stopped)| {
                let before = stopped.is_some_and(|stopped| stopped < sent);
                before && !self.running.contains_key(key) && !page_full
            })
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in gone {
            self.withdrawn.remove(&(task, run));
            self.answer(task, run, Outcome::Absent);
        }
        if epoch == self.epoch && epoch > 0 {
            self.complete = true;
        }
    }

    fn take_running(&mut self, running: Vec<Run>, sent: Time) {
        let paces: BTreeMap<Key, u8> =
            self.running.iter().map(|(key, held)| (*key, held.run.pace)).collect();
        // A run that was started after the lists were asked for may not be in them yet.
        self.running.retain(|_, held| held.started >= sent);
        for mut run in running {
            let key = (run.task, run.run);
            run.pace = paces.get(&key).copied().unwrap_or(100);
            let traits = self.traits.get(&key).cloned().unwrap_or_default();
            let held = Held { run, traits, started: Time::ZERO };
            self.running.insert(key, held);
        }
    }

    /// Notes that a look gave nothing.
    pub fn look_failed(&mut self, error: &Error) {
        match error {
            // Another life answers; the next look reads its lists.
            Error::OtherIncarnation => self.complete = false,
            Error::Fenced => {}
            Error::Vacant => {
                self.vacant = self.vacant.saturating_add(1);
                self.failures = self.failures.saturating_add(1);
            }
            _ => self.failures = self.failures.saturating_add(1),
        }
    }

    /// Whether no worker runs beside the agent.
    pub fn is_vacant(&self) -> bool {
        self.vacant >= VACANT_LOOKS
    }

    /// Whether the worker has not answered for several looks.
    pub fn is_silent(&self) -> bool {
        self.failures >= self.settings.silent_looks
    }

    fn heard_clock(&mut self, clock_ms: u64, now: Time) {
        let clock = i64::try_from(clock_ms).unwrap_or(i64::MAX);
        let own = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        self.offset_ms = Some(clock.saturating_sub(own));
    }

    /// A start was answered with success.
    pub fn started(&mut self, order: &Order, traits: Traits, now: Time) {
        let key = (order.task, order.run);
        let ended = self.ends.values().any(|end| (end.item.task, end.item.run) == key);
        if !ended {
            let run = Run {
                task: order.task,
                run: order.run,
                checkpoint: None,
                percent: 0,
                measurement: 0,
                pace: 100,
            };
            self.traits.insert(key, traits.clone());
            self.running.insert(key, Held { run, traits, started: now });
        }
        self.answer(order.task, order.run, Outcome::Started);
    }

    /// Owes the owner an answer.
    pub fn answer(&mut self, task: Task, run: u32, outcome: Outcome) {
        let answer = Answer { task, run, outcome };
        self.answers.push(Owed { item: answer, first: None, confirmed: false });
    }

    /// A run is being withdrawn; `false` when that goes on already.
    pub fn withdraw(&mut self, key: Key) -> bool {
        if self.withdrawn.contains_key(&key) {
            return false;
        }
        self.withdrawn.insert(key, None);
        true
    }

    /// The worker confirmed the stop of a withdrawn run.
    pub fn stopped(&mut self, key: Key, now: Time) {
        if let Some(stopped) = self.withdrawn.get_mut(&key) {
            *stopped = Some(now);
        }
    }

    /// The stop of a withdrawn run need not be repeated.
    pub fn give_up_withdrawal(&mut self, key: Key) {
        self.withdrawn.remove(&key);
    }

    /// Notes the pace that was set for a run.
    pub fn set_pace(&mut self, key: Key, percent: u8) {
        if let Some(held) = self.running.get_mut(&key) {
            held.run.pace = percent;
        }
    }

    /// The next report.
    pub fn report(&mut self, now: Time) -> Report {
        self.sequence += 1;
        let sequence = self.sequence;
        self.sent.push_back((sequence, now));
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
        let mut report = Report {
            agent: self.agent.clone(),
            process: self.process,
            epoch: self.epoch,
            sequence,
            incarnation: self.lifetime.clone(),
            worker: self.profile(now),
            vacant: self.is_vacant(),
            complete: self.complete && !self.is_vacant(),
            running: None,
            lacks_traits: false,
            ends: Vec::new(),
            answers: Vec::new(),
            received: self.received,
        };
        if !report.complete {
            return report;
        }
        report.lacks_traits = self.running.keys().any(|key| !self.traits.contains_key(key));
        for owed in self.ends.values_mut().filter(|owed| !owed.confirmed) {
            owed.first.get_or_insert(sequence);
            report.ends.push(owed.item.clone());
        }
        for owed in &mut self.answers {
            owed.first.get_or_insert(sequence);
            report.answers.push(owed.item);
        }
        let due = |listed: Time| listed.after(self.settings.list_interval).passed(now);
        if self.listed.is_none_or(due) {
            self.listed = Some(now);
            report.running = Some(self.running.values().map(|held| held.run.clone()).collect());
        }
        report
    }

    fn profile(&self, now: Time) -> Option<Profile> {
        let mut profile = self.profile.clone()?;
        if self.left && self.failures > 0 {
            profile.status = Status::Empty;
        } else if self.is_silent() {
            let empty = self.granted.passed(now);
            profile.status = if empty { Status::Empty } else { Status::Silent };
        } else if let Some(leaves) = self.leaves {
            let left = leaves.remaining(now).as_millis();
            let remaining_ms = u64::try_from(left).unwrap_or(u64::MAX);
            profile.status = Status::Draining { remaining_ms };
        }
        Some(profile)
    }

    /// Takes a reply of an owner in; returns the orders that are new.
    pub fn replied(&mut self, reply: Reply) -> Vec<Order> {
        if !reply.owned || reply.epoch < self.epoch {
            return Vec::new();
        }
        if reply.epoch > self.epoch {
            self.obey(reply.epoch);
            return Vec::new();
        }
        let sequence = reply.sequence;
        let sent = self.sent.iter().find(|(number, _)| *number == sequence);
        if let Some((_, sent)) = sent {
            self.authorised = self.authorised.max(sent.after(self.settings.lease));
        }
        let told = |first: Option<u64>| first.is_some_and(|first| first <= sequence);
        self.answers.retain(|owed| !told(owed.first));
        for owed in self.ends.values_mut().filter(|owed| told(owed.first)) {
            owed.confirmed = true;
        }
        if self.lifetime.as_ref().is_some_and(|own| own.started_ms == reply.worker_started_ms) {
            self.recorded = self.recorded.max(reply.recorded);
        }
        for feature in reply.run_traits {
            let key = (feature.task, feature.run);
            if let Some(held) = self.running.get_mut(&key) {
                held.traits = feature.traits.clone();
            }
            self.traits.insert(key, feature.traits);
        }
        for harm in &reply.disturbances {
            self.rates.set(&harm.victim, harm.neighbor.as_ref(), f64::from(harm.added));
        }
        let known = self.received;
        let fresh: Vec<Order> =
            reply.orders.into_iter().filter(|order| order.number > known).collect();
        if let Some(last) = fresh.last() {
            self.received = last.number;
        }
        fresh
    }

    /// A later owner is there: nothing that was told to the former one counts.
    fn obey(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.sequence = 0;
        self.sent.clear();
        self.received = 0;
        self.complete = false;
        self.listed = None;
        self.answers.clear();
        for owed in self.ends.values_mut() {
            owed.first = None;
            owed.confirmed = false;
        }
    }
}

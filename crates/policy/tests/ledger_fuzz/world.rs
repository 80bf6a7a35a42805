//! The simulation: entries, agents, a store and a network that delays, reorders, duplicates and
//! loses messages.

use crate::agent::Agent;
use crate::oracle::Oracle;
use crate::step::{Outcome, Step};
use crate::store::Store;
use shallotflow_core::job::{Spec, State};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::{
    Change, ClockReading, Pending, Reply, Report, Segment, Settings, Table, assignment, id,
};
use std::collections::BTreeMap;
use std::time::Duration;

const ENTRIES: usize = 3;
const AGENTS: usize = 3;
const LEDGERS: u32 = 4;
const JOBS: usize = 12;
const LEASE_MS: u64 = 1_000;
const ROUND_MS: u64 = 100;
const ROUNDS: usize = 400;

/// An entry with its table.
struct Entry {
    name: Name,
    table: Table,
    session: u64,
    /// Time until which it may act as an owner.
    valid_until_ms: u64,
    paused: bool,
    writing: BTreeMap<u32, Segment>,
    pending: Vec<PendingReply>,
    unconfirmed: BTreeMap<Name, Change>,
}

/// A reply that is not sent yet.
struct PendingReply {
    agent: usize,
    report_id: (u64, u64),
    pending: Pending,
    room: u32,
}

#[derive(Clone)]
enum Message {
    Report { agent: usize, entry: usize, report: Report },
    Reply { agent: usize, entry: usize, report_id: (u64, u64), reply: Reply },
}

pub(crate) struct World {
    settings: Settings,
    now_ms: u64,
    store: Store,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    oracle: Oracle,
    ids: Vec<Name>,
    /// Number of grants that reached an agent.
    pub(crate) starts: usize,
}

impl World {
    pub(crate) fn new() -> Self {
        let settings = Settings {
            task_lease: Duration::from_millis(LEASE_MS),
            retry_delay: Duration::from_millis(50),
            failures_max: 2,
            ejection_duration: Duration::from_millis(200),
            segment_bytes: 700,
            segments_min: 4,
            ..Settings::default()
        };
        Self {
            entries: (0..ENTRIES).map(|number| Entry::new(number, &settings)).collect(),
            agents: (0..AGENTS).map(Agent::new).collect(),
            settings,
            now_ms: 10_000,
            store: Store::default(),
            messages: Vec::new(),
            oracle: Oracle::default(),
            ids: (0..JOBS).map(job_id).collect(),
            starts: 0,
        }
    }

    /// Lets entries claim ledgers and submits all jobs.
    pub(crate) fn start(&mut self) {
        self.maintain();
        for job in 0..JOBS {
            self.submit(job);
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Advance(millis) => self.advance(u64::from(millis)),
            Step::Submit { job } => self.submit(usize::from(job) % JOBS),
            Step::Withdraw { job } => self.withdraw(usize::from(job) % JOBS),
            Step::Cancel { job } => self.cancel(usize::from(job) % JOBS),
            Step::Exchange { agent, entry, stages } => {
                self.exchange(pick(agent, AGENTS), pick(entry, ENTRIES), stages);
            }
            Step::Maintain => self.maintain(),
            Step::Start { agent } => {
                self.agents[pick(agent, AGENTS)].start_all(&self.settings, &mut self.oracle);
            }
            Step::Report { agent, entry } => self.report(pick(agent, AGENTS), pick(entry, ENTRIES)),
            Step::Deliver { message } => {
                if let Some(index) = pick_existing(message, self.messages.len()) {
                    let message = self.messages.remove(index);
                    self.deliver(message);
                }
            }
            Step::Duplicate { message } => {
                if let Some(index) = pick_existing(message, self.messages.len()) {
                    self.deliver(self.messages[index].clone());
                }
            }
            Step::Drop { message } => {
                if let Some(index) = pick_existing(message, self.messages.len()) {
                    self.messages.remove(index);
                }
            }
            Step::Answer { entry, report } => self.answer(pick(entry, ENTRIES), report),
            Step::Write { entry, ledger, outcome } => {
                self.write(pick(entry, ENTRIES), u32::from(ledger) % LEDGERS, outcome);
            }
            Step::DeliverWrite { write } => {
                if let Some(index) = pick_existing(write, self.store.delayed.len()) {
                    let segment = self.store.delayed.remove(index);
                    self.store.write(&segment);
                }
            }
            Step::Renew { entry } => self.renew(pick(entry, ENTRIES)),
            Step::Claim { entry } => self.claim(pick(entry, ENTRIES)),
            Step::Tick { entry } => self.tick(pick(entry, ENTRIES)),
            Step::Work { agent, task, work } => {
                let agent = &mut self.agents[pick(agent, AGENTS)];
                agent.work(usize::from(task), work, &self.settings, &mut self.oracle);
            }
            Step::RestartAgent { agent } => {
                self.agents[pick(agent, AGENTS)].restart();
            }
            Step::Reboot { agent, with_agent } => {
                self.agents[pick(agent, AGENTS)].reboot(with_agent, &mut self.oracle);
            }
            Step::Leave { entry } => self.leave(pick(entry, ENTRIES)),
            Step::Kill { entry } => {
                let number = pick(entry, ENTRIES);
                self.entries[number] = Entry::new(number, &self.settings);
            }
            Step::Pause { entry } => {
                let entry = &mut self.entries[pick(entry, ENTRIES)];
                entry.paused = !entry.paused;
            }
        }
        self.read_jobs();
    }

    /// Runs without faults until every job has ended.
    pub(crate) fn settle(&mut self) {
        for entry in &mut self.entries {
            entry.paused = false;
        }
        for _ in 0..ROUNDS {
            self.round();
            if self.ids.iter().all(|id| self.oracle.is_settled(id)) {
                return;
            }
        }
        let open: Vec<&Name> = self.ids.iter().filter(|id| !self.oracle.is_settled(id)).collect();
        panic!("jobs that never end: {open:?}");
    }

    fn round(&mut self) {
        self.advance(ROUND_MS);
        self.maintain();
        for job in 0..JOBS {
            // A caller that was told that its job was not run does not submit it again.
            if !self.oracle.is_refused(&self.ids[job]) {
                self.submit(job);
            }
        }
        for agent in 0..AGENTS {
            for entry in 0..ENTRIES {
                self.report(agent, entry);
            }
        }
        self.deliver_all();
        for entry in 0..ENTRIES {
            for ledger in 0..LEDGERS {
                self.write(entry, ledger, Outcome::Confirmed);
                self.write(entry, ledger, Outcome::Confirmed);
            }
            while !self.entries[entry].pending.is_empty() {
                self.answer(entry, 0);
            }
        }
        self.deliver_all();
        for agent in &mut self.agents {
            agent.work_all(&self.settings, &mut self.oracle);
        }
        self.read_jobs();
    }

    fn maintain(&mut self) {
        for entry in 0..ENTRIES {
            self.renew(entry);
            self.claim(entry);
            self.tick(entry);
        }
    }

    /// Runs the first `stages` of an exchange: report, its delivery, commits, reply, its delivery.
    fn exchange(&mut self, agent: usize, entry: usize, stages: u8) {
        self.report(agent, entry);
        if stages < 2 {
            return;
        }
        let position = self.entries[entry].pending.len();
        if let Some(message) = self.messages.pop() {
            self.deliver(message);
        }
        let accepted = self.entries[entry].pending.len() > position;
        if stages < 3 || !accepted {
            return;
        }
        for ledger in 0..LEDGERS {
            self.write(entry, ledger, Outcome::Confirmed);
        }
        if stages < 4 {
            return;
        }
        let messages = self.messages.len();
        self.answer_at(entry, position);
        if stages < 5 || self.messages.len() == messages {
            return;
        }
        if let Some(message) = self.messages.pop() {
            self.deliver(message);
        }
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            self.deliver(message);
        }
    }

    fn clock(&self) -> ClockReading {
        ClockReading { now: Time::from_millis(self.now_ms), unix_ms: self.now_ms }
    }

    /// Advances the time and expires each lease exactly when it ends.
    fn advance(&mut self, millis: u64) {
        let target = self.now_ms + millis;
        while self.now_ms < target {
            let ends =
                self.agents.iter().flat_map(Agent::lease_ends).chain(self.store.lease_ends());
            let next = ends.filter(|end| *end > self.now_ms).min().unwrap_or(target);
            self.now_ms = next.min(target);
            self.store.expire(self.now_ms);
            for agent in &mut self.agents {
                agent.expire_tasks(self.now_ms, &mut self.oracle);
            }
        }
    }

    /// Returns the entry that acts as the owner of a job, if there is one.
    fn owner(&self, id: &Name) -> Option<usize> {
        let ledger = id::ledger(id)?;
        (0..ENTRIES).find(|number| {
            let entry = &self.entries[*number];
            self.is_active(*number) && entry.table.owned().any(|(owned, _)| owned == ledger)
        })
    }

    fn is_active(&self, entry: usize) -> bool {
        let entry = &self.entries[entry];
        !entry.paused && self.now_ms < entry.valid_until_ms
    }

    fn submit(&mut self, job: usize) {
        let id = self.ids[job].clone();
        let Some(owner) = self.owner(&id) else { return };
        let clock = self.clock();
        self.oracle.submit(&id);
        let entry = &mut self.entries[owner];
        let (change, created) =
            entry.table.submit(id.clone(), spec(job), clock).expect("a valid job");
        if created {
            entry.unconfirmed.insert(id, change);
        }
    }

    fn withdraw(&mut self, job: usize) {
        let id = self.ids[job].clone();
        let Some(owner) = self.owner(&id) else { return };
        let entry = &mut self.entries[owner];
        let Some(change) = entry.unconfirmed.remove(&id) else { return };
        if !entry.table.is_committed(change) && entry.table.withdraw(&id) {
            self.oracle.refuse(&id);
        }
    }

    fn cancel(&mut self, job: usize) {
        let id = self.ids[job].clone();
        let Some(owner) = self.owner(&id) else { return };
        let clock = self.clock();
        // A job that was never submitted cannot be cancelled.
        let _ = self.entries[owner].table.cancel(&id, clock);
    }

    fn report(&mut self, agent: usize, entry: usize) {
        let report = self.agents[agent].report(entry, self.now_ms);
        self.messages.push(Message::Report { agent, entry, report });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report { agent, entry, report } => {
                if !self.is_active(entry) {
                    return;
                }
                let clock = self.clock();
                let entry = &mut self.entries[entry];
                let pending = entry.table.apply_report(&report, clock);
                let report_id = (report.incarnation, report.sequence);
                let room = report.room.slots;
                entry.pending.push(PendingReply { agent, report_id, pending, room });
            }
            Message::Reply { agent, entry, report_id, reply } => {
                self.starts += reply.grants.len();
                let (now_ms, settings) = (self.now_ms, &self.settings);
                let oracle = &mut self.oracle;
                self.agents[agent].apply_reply(entry, report_id, &reply, now_ms, settings, oracle);
            }
        }
    }

    fn answer(&mut self, number: usize, report: u8) {
        if let Some(index) = pick_existing(report, self.entries[number].pending.len()) {
            self.answer_at(number, index);
        }
    }

    fn answer_at(&mut self, number: usize, index: usize) {
        let is_active = self.is_active(number);
        let entry = &mut self.entries[number];
        if entry.paused {
            return;
        }
        let pending_reply = entry.pending.remove(index);
        if !is_active {
            return;
        }
        let reply = entry.table.reply(&pending_reply.pending);
        let granted: u32 = reply.grants.iter().map(|grant| grant.record.spec.resources.slots).sum();
        assert!(
            granted <= pending_reply.room,
            "{granted} slots are granted, {} are free",
            pending_reply.room
        );
        for grant in &reply.grants {
            let recorded = self.store.progress(&grant.key.job).expect("a recorded job");
            assert_eq!(
                recorded.attempts, grant.key.attempt,
                "a grant is sent before its start is recorded"
            );
        }
        for key in &reply.settled {
            let recorded = self.store.progress(&key.job).expect("a recorded job");
            let open = matches!(recorded.state, State::Started { .. });
            let ended = recorded.attempts > key.attempt || !open;
            assert!(ended, "{} is settled before its end is recorded", key.job);
        }
        let (agent, report_id) = (pending_reply.agent, pending_reply.report_id);
        self.messages.push(Message::Reply { agent, entry: number, report_id, reply });
    }

    fn write(&mut self, number: usize, ledger: u32, outcome: Outcome) {
        let entry = &mut self.entries[number];
        if entry.paused {
            return;
        }
        if !entry.writing.contains_key(&ledger) {
            let Some(segment) = entry.table.next_segment(ledger) else { return };
            entry.writing.insert(ledger, segment);
        }
        let segment = entry.writing[&ledger].clone();
        match outcome {
            Outcome::Lost => return,
            Outcome::Delayed => return self.store.delayed.push(segment),
            Outcome::ConfirmationLost => {
                self.store.write(&segment);
                return;
            }
            Outcome::Confirmed => {}
        }
        let written = self.store.write(&segment) || self.store.holds(&segment);
        if written {
            entry.writing.remove(&ledger);
            entry.table.confirm_segment(&segment);
        } else if self.store.epoch(ledger) != Some(segment.epoch) {
            entry.writing.remove(&ledger);
            let owned = entry.table.owned().any(|owned| owned == (ledger, segment.epoch));
            if owned {
                entry.table.close(ledger);
            }
        }
    }

    fn renew(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if entry.paused {
            return;
        }
        let end_ms = self.now_ms + LEASE_MS;
        if !self.store.renew(entry.session, end_ms) {
            entry.close_all();
            entry.session = self.store.grant(end_ms);
        }
        entry.valid_until_ms = self.now_ms + LEASE_MS * 9 / 10;
    }

    fn claim(&mut self, number: usize) {
        if !self.is_active(number) {
            return;
        }
        let clock = self.clock();
        let live = |entry: &&Entry| self.store.has_lease(entry.session);
        let names: Vec<Name> =
            self.entries.iter().filter(live).map(|entry| entry.name.clone()).collect();
        let entry = &mut self.entries[number];
        let mut owners = self.store.owners();
        owners.retain(|ledger, name| {
            *name != entry.name || entry.table.owned().any(|(owned, _)| owned == *ledger)
        });
        let plan = assignment::plan(&entry.name, &names, &owners, LEDGERS);
        for ledger in plan.releases {
            let epoch = entry.table.owned().find(|(owned, _)| *owned == ledger);
            entry.table.close(ledger);
            entry.writing.remove(&ledger);
            if let Some((_, epoch)) = epoch {
                self.store.release(ledger, epoch);
            }
        }
        for ledger in plan.claims {
            let claimed = self.store.claim(ledger, &entry.name, entry.session);
            let Some(epoch) = claimed else { continue };
            entry.writing.remove(&ledger);
            let segments = self.store.segments(ledger);
            entry.table.open(ledger, epoch, &segments, clock).expect("readable segments");
        }
    }

    /// Lets an entry give up its ledgers while it still owns them, then starts it again.
    fn leave(&mut self, number: usize) {
        if !self.is_active(number) {
            return;
        }
        self.store.revoke(self.entries[number].session);
        self.entries[number] = Entry::new(number, &self.settings);
    }

    fn tick(&mut self, entry: usize) {
        if self.is_active(entry) {
            let clock = self.clock();
            self.entries[entry].table.tick(clock);
        }
    }

    /// Lets callers read every job at its owner.
    fn read_jobs(&mut self) {
        for id in self.ids.clone() {
            let Some(owner) = self.owner(&id) else { continue };
            if let Ok(record) = self.entries[owner].table.read(&id) {
                self.oracle.answer(record);
            }
        }
    }
}

impl Entry {
    fn new(number: usize, settings: &Settings) -> Self {
        Self {
            name: format!("e{number}").into(),
            table: Table::new(settings.clone()),
            session: 0,
            valid_until_ms: 0,
            paused: false,
            writing: BTreeMap::new(),
            pending: Vec::new(),
            unconfirmed: BTreeMap::new(),
        }
    }

    fn close_all(&mut self) {
        let owned: Vec<u32> = self.table.owned().map(|(ledger, _)| ledger).collect();
        for ledger in owned {
            self.table.close(ledger);
        }
        self.writing.clear();
        self.pending.clear();
    }
}

fn job_id(job: usize) -> Name {
    id::derive("guild", &job.to_string(), LEDGERS)
}

fn spec(job: usize) -> Spec {
    Spec {
        caller: format!("caller-{}", job % 4).into(),
        kind: "render".into(),
        resources: Bundle { slots: 1 + (job % 2) as u32, ..Bundle::default() },
        declared_run_ms: 10,
        idempotent: job.is_multiple_of(3),
        priority: if job.is_multiple_of(5) { Spec::URGENT } else { 0 },
        payload: "pattern".to_owned(),
    }
}

fn pick(number: u8, count: usize) -> usize {
    usize::from(number) % count
}

fn pick_existing(number: u8, count: usize) -> Option<usize> {
    (count > 0).then(|| pick(number, count))
}

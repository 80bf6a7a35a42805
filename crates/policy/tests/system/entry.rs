//! An entry: the ledger's table behind a lease at the store.

use super::packet::{Answer, Call, Packet};
use super::store::Store;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::{Change, ClockReading, Pending, Report, Segment, Settings, Table};
use std::collections::BTreeMap;
use std::time::Duration;

/// The part of the store's lease that an entry relies on, percent.
const RELIED_PERCENT: u32 = 90;

/// A caller that waits for a commit.
#[derive(Clone, Debug)]
pub(crate) enum Wish {
    Submit,
    Cancel,
}

/// A reply that waits for its commits.
struct Waiting {
    agent: usize,
    incarnation: u64,
    sequence: u64,
    pending: Pending,
}

/// An entry.
pub(crate) struct Entry {
    number: usize,
    /// Grows with each restart.
    pub(crate) life: u64,
    /// Until when the process is paused, in true time.
    pub(crate) paused_until: Time,
    /// Until when it does not reach the store to renew its lease, in true time.
    pub(crate) starved_until: Time,
    /// The rate of its clock, per thousand.
    pub(crate) rate: u64,
    pub(crate) table: Table,
    lease: u64,
    valid_until: Time,
    flying: BTreeMap<u32, Segment>,
    waiting: Vec<Waiting>,
    wishes: Vec<(Name, Change, Wish)>,
}

impl Entry {
    pub(crate) fn new(number: usize, rate: u64) -> Self {
        Self {
            number,
            life: 1,
            paused_until: Time::ZERO,
            starved_until: Time::ZERO,
            rate,
            table: Table::new(settings()),
            lease: 0,
            valid_until: Time::ZERO,
            flying: BTreeMap::new(),
            waiting: Vec::new(),
            wishes: Vec::new(),
        }
    }

    /// Its own clock at the true time `now`.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time::from_micros(now.as_micros() / 1_000 * self.rate)
    }

    fn moment(&self, now: Time) -> ClockReading {
        let now = self.local(now);
        ClockReading { now, unix_ms: now.as_millis() }
    }

    /// The process dies and another takes its place.
    pub(crate) fn restart(&mut self) {
        let (number, rate, life) = (self.number, self.rate, self.life + 1);
        *self = Self { life, ..Self::new(number, rate) };
    }

    /// Whether it may answer as an owner.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        !self.valid_until.passed(self.local(now))
    }

    /// Renews its lease, taking a new one if it has none.
    pub(crate) fn renew(&mut self, store: &mut Store, now: Time) -> Packet {
        if self.lease == 0 {
            self.lease = store.next_lease(now);
        }
        self.call(Call::Renew { lease: self.lease, sent: self.local(now) })
    }

    /// Claims what it may and does not hold.
    pub(crate) fn claim(&self, store: &mut Store, ledgers: u32, now: Time) -> Vec<Packet> {
        if self.lease == 0 || !self.is_valid(now) {
            return Vec::new();
        }
        let owned = |ledger: &u32| self.table.owned().any(|(number, _)| number == *ledger);
        let claimable = store.claimable(ledgers, self.lease, now);
        let wanted = claimable.into_iter().filter(|ledger| !owned(ledger));
        wanted.map(|ledger| self.call(Call::Claim { ledger, lease: self.lease })).collect()
    }

    /// Writes what waits for a commit, again if the answer is outstanding.
    pub(crate) fn write(&mut self) -> Vec<Packet> {
        let ledgers: Vec<u32> = self.table.writable_ledgers().collect();
        for ledger in ledgers {
            if let Some(segment) = self.table.next_segment(ledger) {
                self.flying.insert(ledger, segment);
            }
        }
        self.flying.values().map(|segment| self.call(Call::Write(segment.clone()))).collect()
    }

    /// Runs the systems that depend on time alone.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.is_valid(now) {
            self.table.tick(self.moment(now));
        }
    }

    pub(crate) fn submit(&mut self, id: Name, spec: shallotflow_core::job::Spec, now: Time) {
        if !self.is_valid(now) {
            return;
        }
        if let Ok((mark, _)) = self.table.submit(id.clone(), spec, self.moment(now)) {
            self.wishes.push((id, mark, Wish::Submit));
        }
    }

    pub(crate) fn cancel(&mut self, id: &Name, now: Time) {
        if !self.is_valid(now) {
            return;
        }
        if let Ok(mark) = self.table.cancel(id, self.moment(now)) {
            self.wishes.push((id.clone(), mark, Wish::Cancel));
        }
    }

    pub(crate) fn hear(&mut self, agent: usize, report: &Report, now: Time) {
        if !self.is_valid(now) {
            return;
        }
        let pending = self.table.apply_report(report, self.moment(now));
        let (incarnation, sequence) = (report.incarnation, report.sequence);
        self.waiting.push(Waiting { agent, incarnation, sequence, pending });
    }

    /// Replies whose commits are settled, or all of them when it waits no longer.
    pub(crate) fn replies(&mut self, impatient: bool, now: Time) -> Vec<Packet> {
        let table = &self.table;
        let settled =
            |mark: Change| impatient || table.is_committed(mark) || !table.may_commit(mark);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            self.waiting.drain(..).partition(|waiting| waiting.pending.changes().all(settled));
        self.waiting = waiting;
        if !self.is_valid(now) {
            return Vec::new();
        }
        let reply = |waiting: Waiting| Packet::Reply {
            agent: waiting.agent,
            entry: self.number,
            incarnation: waiting.incarnation,
            sequence: waiting.sequence,
            reply: self.table.reply(&waiting.pending),
        };
        ready.into_iter().map(reply).collect()
    }

    /// Callers whose wish is committed, with the job's record as they are told.
    pub(crate) fn told(&mut self, now: Time) -> Vec<(Wish, shallotflow_core::job::Record)> {
        if !self.is_valid(now) {
            return Vec::new();
        }
        let table = &self.table;
        self.wishes.retain(|(_, mark, _)| table.may_commit(*mark));
        let (ready, waiting): (Vec<_>, Vec<_>) =
            self.wishes.drain(..).partition(|(_, mark, _)| table.is_committed(*mark));
        self.wishes = waiting;
        let record = |id: &Name| self.table.read(id).ok().cloned();
        ready.into_iter().filter_map(|(id, _, wish)| Some((wish, record(&id)?))).collect()
    }

    /// Takes an answer of the store.
    pub(crate) fn answer(&mut self, answer: Answer, now: Time) {
        match answer {
            Answer::Renewed { lease, sent } if lease == self.lease => {
                let relied = Store::LEASE * RELIED_PERCENT / 100;
                self.valid_until = self.valid_until.max(sent.after(relied));
            }
            Answer::LeaseGone { lease } if lease == self.lease => self.lose_lease(),
            Answer::Claimed { ledger, lease, epoch, segments } if lease == self.lease => {
                self.open(ledger, epoch, &segments, now);
            }
            Answer::Written(segment) => {
                let flying = self.flying.get(&segment.ledger);
                if flying.is_some_and(|flying| *flying == segment) {
                    self.flying.remove(&segment.ledger);
                    self.table.confirm_segment(&segment);
                }
            }
            Answer::Deposed { ledger, epoch } if self.owns(ledger, epoch) => {
                self.flying.remove(&ledger);
                self.table.close(ledger);
            }
            _ => {}
        }
    }

    fn owns(&self, ledger: u32, epoch: u64) -> bool {
        self.table.owned().any(|owned| owned == (ledger, epoch))
    }

    fn open(&mut self, ledger: u32, epoch: u64, segments: &[(u64, String)], now: Time) {
        let owned = self.table.owned().any(|(number, _)| number == ledger);
        if owned || !self.is_valid(now) {
            return;
        }
        let moment = self.moment(now);
        self.table.open(ledger, epoch, segments, moment).expect("the log is readable");
    }

    fn lose_lease(&mut self) {
        let owned: Vec<u32> = self.table.owned().map(|(ledger, _)| ledger).collect();
        for ledger in owned {
            self.table.close(ledger);
        }
        self.lease = 0;
        self.valid_until = Time::ZERO;
        self.flying.clear();
        self.waiting.clear();
        self.wishes.clear();
    }

    fn call(&self, call: Call) -> Packet {
        Packet::Call { entry: self.number, life: self.life, call }
    }
}

/// Settings under which a run reaches its end soon.
pub(crate) fn settings() -> Settings {
    Settings {
        task_lease: Duration::from_secs(5),
        failures_max: 4,
        retry_delay: Duration::from_millis(100),
        segment_bytes: 1_500,
        segments_min: 6,
        ..Settings::default()
    }
}

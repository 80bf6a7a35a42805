//! An entry: a ledger table whose ownership depends on a lease at the store.

use super::packet::{Answer, Call, Packet};
use super::store::Store;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::{Change, ClockReading, Pending, Report, Segment, Settings, Table};
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a store lease during which an entry acts as an owner, percent.
const USABLE_LEASE_PERCENT: u32 = 90;

/// A caller's request that waits for its commit.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Submit,
    Cancel,
}

/// A reply that waits for the commits of its changes.
struct Waiting {
    agent: usize,
    incarnation: u64,
    sequence: u64,
    pending: Pending,
}

/// A simulated entry process.
pub(crate) struct Entry {
    number: usize,
    /// Increases with each restart.
    pub(crate) incarnation: u64,
    /// Time until which the process is paused, by the simulation's clock.
    pub(crate) paused_until: Time,
    /// Time until which its lease renewals do not reach the store, by the simulation's clock.
    pub(crate) renewal_blocked_until: Time,
    /// The rate of its clock, thousandths.
    pub(crate) rate: u64,
    pub(crate) table: Table,
    lease: u64,
    valid_until: Time,
    in_flight: BTreeMap<u32, Segment>,
    waiting: Vec<Waiting>,
    requests: Vec<(Name, Change, Request)>,
}

impl Entry {
    pub(crate) fn new(number: usize, rate: u64) -> Self {
        Self {
            number,
            incarnation: 1,
            paused_until: Time::ZERO,
            renewal_blocked_until: Time::ZERO,
            rate,
            table: Table::new(settings()),
            lease: 0,
            valid_until: Time::ZERO,
            in_flight: BTreeMap::new(),
            waiting: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Returns its own clock at the simulation time `now`.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time::from_micros(now.as_micros() / 1_000 * self.rate)
    }

    fn clock(&self, now: Time) -> ClockReading {
        let now = self.local(now);
        ClockReading { now, unix_ms: now.as_millis() }
    }

    /// Replaces the process with a new incarnation.
    pub(crate) fn restart(&mut self) {
        let (number, rate, incarnation) = (self.number, self.rate, self.incarnation + 1);
        *self = Self { incarnation, ..Self::new(number, rate) };
    }

    /// Whether its lease allows it to act as an owner.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        !self.valid_until.passed(self.local(now))
    }

    /// Renews its lease, or creates one if it has none.
    pub(crate) fn renew(&mut self, store: &mut Store, now: Time) -> Packet {
        if self.lease == 0 {
            self.lease = store.next_lease(now);
        }
        self.call(Call::Renew { lease: self.lease, sent: self.local(now) })
    }

    /// Claims the ledgers that it may claim and does not own.
    pub(crate) fn claim(&self, store: &mut Store, ledgers: u32, now: Time) -> Vec<Packet> {
        if self.lease == 0 || !self.is_valid(now) {
            return Vec::new();
        }
        let owned = |ledger: &u32| self.table.owned().any(|(number, _)| number == *ledger);
        let claimable = store.claimable(ledgers, self.lease, now);
        let wanted = claimable.into_iter().filter(|ledger| !owned(ledger));
        wanted.map(|ledger| self.call(Call::Claim { ledger, lease: self.lease })).collect()
    }

    /// Writes uncommitted changes, and repeats writes that are not confirmed.
    pub(crate) fn write(&mut self) -> Vec<Packet> {
        let ledgers: Vec<u32> = self.table.writable_ledgers().collect();
        for ledger in ledgers {
            if let Some(segment) = self.table.next_segment(ledger) {
                self.in_flight.insert(ledger, segment);
            }
        }
        self.in_flight.values().map(|segment| self.call(Call::Write(segment.clone()))).collect()
    }

    /// Runs the periodic work of the table.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.is_valid(now) {
            self.table.tick(self.clock(now));
        }
    }

    pub(crate) fn submit(&mut self, id: Name, spec: shallotflow_core::job::Spec, now: Time) {
        if !self.is_valid(now) {
            return;
        }
        if let Ok((change, _)) = self.table.submit(id.clone(), spec, self.clock(now)) {
            self.requests.push((id, change, Request::Submit));
        }
    }

    pub(crate) fn cancel(&mut self, id: &Name, now: Time) {
        if !self.is_valid(now) {
            return;
        }
        if let Ok(change) = self.table.cancel(id, self.clock(now)) {
            self.requests.push((id.clone(), change, Request::Cancel));
        }
    }

    pub(crate) fn apply_report(&mut self, agent: usize, report: &Report, now: Time) {
        if !self.is_valid(now) {
            return;
        }
        let pending = self.table.apply_report(report, self.clock(now));
        let (incarnation, sequence) = (report.incarnation, report.sequence);
        self.waiting.push(Waiting { agent, incarnation, sequence, pending });
    }

    /// Returns the replies whose commits are decided, or all of them with `force`.
    pub(crate) fn replies(&mut self, force: bool, now: Time) -> Vec<Packet> {
        let table = &self.table;
        let settled =
            |change: Change| force || table.is_committed(change) || !table.may_commit(change);
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

    /// Returns the callers' requests that are committed, with the job record of the response.
    pub(crate) fn committed_requests(
        &mut self,
        now: Time,
    ) -> Vec<(Request, shallotflow_core::job::Record)> {
        if !self.is_valid(now) {
            return Vec::new();
        }
        let table = &self.table;
        self.requests.retain(|(_, change, _)| table.may_commit(*change));
        let (ready, waiting): (Vec<_>, Vec<_>) =
            self.requests.drain(..).partition(|(_, change, _)| table.is_committed(*change));
        self.requests = waiting;
        let record = |id: &Name| self.table.read(id).ok().cloned();
        ready.into_iter().filter_map(|(id, _, request)| Some((request, record(&id)?))).collect()
    }

    /// Applies a response of the store.
    pub(crate) fn answer(&mut self, answer: Answer, now: Time) {
        match answer {
            Answer::Renewed { lease, sent } if lease == self.lease => {
                let usable = Store::LEASE * USABLE_LEASE_PERCENT / 100;
                self.valid_until = self.valid_until.max(sent.after(usable));
            }
            Answer::LeaseGone { lease } if lease == self.lease => self.lose_lease(),
            Answer::Claimed { ledger, lease, epoch, segments } if lease == self.lease => {
                self.open(ledger, epoch, &segments, now);
            }
            Answer::Written(segment) => {
                let in_flight = self.in_flight.get(&segment.ledger);
                if in_flight.is_some_and(|in_flight| *in_flight == segment) {
                    self.in_flight.remove(&segment.ledger);
                    self.table.confirm_segment(&segment);
                }
            }
            Answer::Deposed { ledger, epoch } if self.owns(ledger, epoch) => {
                self.in_flight.remove(&ledger);
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
        let clock = self.clock(now);
        self.table.open(ledger, epoch, segments, clock).expect("the log is readable");
    }

    fn lose_lease(&mut self) {
        let owned: Vec<u32> = self.table.owned().map(|(ledger, _)| ledger).collect();
        for ledger in owned {
            self.table.close(ledger);
        }
        self.lease = 0;
        self.valid_until = Time::ZERO;
        self.in_flight.clear();
        self.waiting.clear();
        self.requests.clear();
    }

    fn call(&self, call: Call) -> Packet {
        Packet::Call { entry: self.number, incarnation: self.incarnation, call }
    }
}

/// Returns settings under which a run ends soon.
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

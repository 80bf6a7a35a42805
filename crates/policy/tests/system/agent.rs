//! An agent: the lease table and the admission table of one worker.

use super::oracle::Oracle;
use super::packet::{Command, Packet};
use super::worker::{CAPACITY, NEED, Task, Worker};
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};
use shallotflow_core::time::Time;
use shallotflow_policy::admission::{self, Id, Ticket};
use shallotflow_policy::{lease, ledger};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Longest wait of a granted task for resources.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for the reply to a report; longer than a lease, so that stale replies occur.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// The state of its reports to one entry.
#[derive(Clone, Debug, Default)]
struct Session {
    sequence: u64,
    outstanding: Option<Outstanding>,
}

#[derive(Clone, Debug)]
struct Outstanding {
    sent: Time,
    reported: Vec<Key>,
}

/// A simulated agent; it shares the clock of its host with its worker.
pub(crate) struct Agent {
    number: usize,
    /// Time until which the process is paused, by the simulation's clock.
    pub(crate) paused_until: Time,
    /// The rate of the host's clock, thousandths.
    pub(crate) rate: u64,
    incarnation: u64,
    boot: u64,
    leases: lease::Table,
    admission: admission::Table,
    admitted: BTreeMap<Key, Id>,
    tickets: u64,
    sessions: Vec<Session>,
    worker_commands: VecDeque<(u64, Command)>,
}

impl Agent {
    pub(crate) fn new(number: usize, entries: usize, rate: u64) -> Self {
        Self {
            number,
            paused_until: Time::ZERO,
            rate,
            incarnation: 1,
            boot: 0,
            leases: lease::Table::default(),
            admission: admission::Table::new(admission::Settings::default(), CAPACITY),
            admitted: BTreeMap::new(),
            tickets: 0,
            sessions: vec![Session::default(); entries],
            worker_commands: VecDeque::new(),
        }
    }

    /// Returns the clock of its host at the simulation time `now`.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time::from_micros(now.as_micros() / 1_000 * self.rate)
    }

    /// Replaces the process with a new incarnation; commands in flight to its worker may still
    /// arrive.
    pub(crate) fn restart(&mut self) {
        let worker_commands = std::mem::take(&mut self.worker_commands);
        let fresh = Self::new(self.number, self.sessions.len(), self.rate);
        *self = Self { incarnation: self.incarnation + 1, worker_commands, ..fresh };
    }

    /// Polls the worker and runs the lease and admission tables.
    pub(crate) fn tick(&mut self, worker: &mut Worker, now: Time) {
        let now = self.local(now);
        if !self.poll_worker(worker, now) {
            return;
        }
        let commands = self.leases.tick(MAX_WAIT, now);
        self.carry_out(commands, now);
        for command in self.admission.tick(now, &Bundle::default()) {
            self.admitted(command, now);
        }
        self.resend();
    }

    /// Reports to an entry, unless it still waits for the reply to an earlier report.
    pub(crate) fn report(&mut self, entry: usize, now: Time) -> Option<Packet> {
        let sent = self.local(now);
        let outstanding = self.sessions[entry].outstanding.as_ref();
        let waits =
            outstanding.is_some_and(|report| !report.sent.after(REPORT_TIMEOUT).passed(sent));
        if self.boot == 0 || waits {
            return None;
        }
        let reported = self.leases.tasks().map(|(key, _)| key.clone()).collect();
        let session = &mut self.sessions[entry];
        session.sequence += 1;
        session.outstanding = Some(Outstanding { sent, reported });
        let report = self.build_report(self.sessions[entry].sequence);
        Some(Packet::Report { agent: self.number, entry, report })
    }

    /// Applies a reply if it answers the report in flight.
    pub(crate) fn apply_reply(
        &mut self,
        entry: usize,
        incarnation: u64,
        sequence: u64,
        reply: &ledger::Reply,
        now: Time,
    ) {
        let session = &mut self.sessions[entry];
        if incarnation != self.incarnation || sequence != session.sequence {
            return;
        }
        let Some(outstanding) = session.outstanding.take() else { return };
        let now = self.local(now);
        let commands = self.leases.apply_reply(&translate(reply, outstanding), now);
        self.carry_out(commands, now);
    }

    /// Evicts a running task.
    pub(crate) fn evict(&mut self, position: usize) {
        let running: Vec<Key> = self
            .leases
            .tasks()
            .filter(|(_, task)| task.phase == Phase::Running)
            .map(|(key, _)| key.clone())
            .collect();
        let Some(key) = running.get(position % running.len().max(1)) else { return };
        self.leases.mark_stopping(key);
        self.worker_commands
            .push_back((self.incarnation, Command::Stop { key: key.clone(), checkpoint: true }));
    }

    /// Delivers the next command to the worker, in the order of sending.
    pub(crate) fn deliver_command(&mut self, worker: &mut Worker, now: Time, oracle: &mut Oracle) {
        let now = self.local(now);
        let Some((incarnation, command)) = self.worker_commands.pop_front() else { return };
        let accepted = worker.carry_out(incarnation, &command, now, oracle);
        let current = incarnation == self.incarnation && worker.attached() == incarnation;
        if let (Command::Start { key, .. }, false, true) = (&command, accepted, current) {
            self.leases.refuse(key, "the worker refused it");
            self.release(key);
        }
    }

    /// Breaks the connection to the worker; commands in flight reach no later boot of it.
    pub(crate) fn break_connection(&mut self) {
        self.worker_commands.clear();
    }

    /// Drops the next command in flight.
    pub(crate) fn drop_command(&mut self) {
        self.worker_commands.pop_front();
    }

    pub(crate) fn has_commands(&self) -> bool {
        !self.worker_commands.is_empty()
    }

    fn poll_worker(&mut self, worker: &mut Worker, now: Time) -> bool {
        if worker.attached() != self.incarnation || worker.boot() != self.boot {
            if !worker.attach(self.incarnation) {
                return false;
            }
            self.attach(worker, now);
        }
        let tasks: Vec<(Key, Task)> =
            worker.tasks().iter().map(|(key, task)| (key.clone(), task.clone())).collect();
        for (key, task) in &tasks {
            self.observe(key, task);
        }
        let listed = tasks.into_iter().map(|(key, _)| key).collect();
        for key in self.leases.refuse_unlisted(&listed, now) {
            self.release(&key);
        }
        true
    }

    fn attach(&mut self, worker: &Worker, now: Time) {
        let restarted = self.boot != 0 && self.boot != worker.boot();
        if restarted {
            let sent: Vec<Key> = self
                .leases
                .tasks()
                .filter(|(_, task)| task.sent && !task.phase.is_final())
                .map(|(key, _)| key.clone())
                .collect();
            for key in sent {
                self.leases.observe(&key, &observation(Phase::Lapsed, None));
                self.release(&key);
            }
        }
        self.boot = worker.boot();
        for (key, task) in worker.tasks() {
            self.adopt(key, task, now);
        }
    }

    fn adopt(&mut self, key: &Key, task: &Task, now: Time) {
        let adoption = lease::Adoption {
            epoch: task.epoch,
            kind: "render".into(),
            resources: NEED,
            deadline: task.deadline,
            started: now,
        };
        let observation = observation(task.phase, task.checkpoint.as_ref());
        self.leases.adopt(key.clone(), adoption, &observation);
        if !task.phase.is_final() && !self.admitted.contains_key(key) {
            let ticket = self.ticket(key, now);
            self.admission.adopt(ticket);
        }
    }

    fn observe(&mut self, key: &Key, task: &Task) {
        let observation = observation(task.phase, task.checkpoint.as_ref());
        if self.leases.observe(key, &observation) {
            self.release(key);
        }
    }

    fn ticket(&mut self, key: &Key, now: Time) -> Ticket {
        self.tickets += 1;
        let id = Id(self.tickets);
        self.admitted.insert(key.clone(), id);
        Ticket { id, class: Class::Batch, need: NEED, deadline: Time::NEVER, offered: now }
    }

    fn release(&mut self, key: &Key) {
        if let Some(id) = self.admitted.remove(key) {
            self.admission.release(id);
        }
    }

    fn carry_out(&mut self, commands: Vec<lease::Command>, now: Time) {
        for command in commands {
            let command = match command {
                lease::Command::Offer(key) => {
                    self.offer(&key, now);
                    continue;
                }
                lease::Command::Withdraw(key) => {
                    if let Some(id) = self.admitted.remove(&key) {
                        self.admission.withdraw(Class::Batch, id, Time::NEVER);
                    }
                    continue;
                }
                lease::Command::Renew(key, deadline) => Command::Renew { key, deadline },
                lease::Command::Checkpoint(key) => Command::Stop { key, checkpoint: true },
                lease::Command::Stop(key) => Command::Stop { key, checkpoint: false },
                lease::Command::Acknowledge(key) => Command::Acknowledge { key },
            };
            self.worker_commands.push_back((self.incarnation, command));
        }
    }

    fn offer(&mut self, key: &Key, now: Time) {
        let ticket = self.ticket(key, now);
        if let Err(refusal) = self.admission.offer(ticket, Duration::ZERO, now) {
            self.admitted.remove(key);
            self.leases.refuse(key, &refusal.to_string());
        }
    }

    fn admitted(&mut self, command: admission::Command, now: Time) {
        let admission::Command::Start(ticket) = command else { return };
        let found = self.admitted.iter().find(|(_, id)| **id == ticket.id);
        let Some(key) = found.map(|(key, _)| key.clone()) else { return };
        if self.leases.mark_sent(&key, now) {
            self.start(&key);
        } else {
            self.leases.refuse(&key, "its lease had passed");
            self.release(&key);
        }
    }

    fn start(&mut self, key: &Key) {
        let Some(task) = self.leases.get(key) else { return };
        let checkpoint = &task.grant.checkpoint;
        let command = Command::Start {
            key: key.clone(),
            epoch: task.grant.epoch,
            checkpoint: (!checkpoint.is_empty()).then(|| Name::from(checkpoint.as_str())),
            deadline: task.deadline,
        };
        self.worker_commands.push_back((self.incarnation, command));
    }

    /// Repeats starts and stops that have not taken effect.
    fn resend(&mut self) {
        if !self.worker_commands.is_empty() {
            return;
        }
        let sent = |task: &&lease::Task| task.sent && !task.phase.is_final();
        let tasks: Vec<(Key, Phase, bool)> = self
            .leases
            .tasks()
            .filter(|(_, task)| sent(task))
            .map(|(key, task)| (key.clone(), task.phase, task.stopping))
            .collect();
        for (key, phase, stopping) in tasks {
            if stopping {
                let command = Command::Stop { key: key.clone(), checkpoint: false };
                self.worker_commands.push_back((self.incarnation, command));
            } else if phase == Phase::Accepted {
                self.start(&key);
            }
        }
    }

    fn build_report(&self, sequence: u64) -> ledger::Report {
        let status = |(key, task): (&Key, &lease::Task)| ledger::Status {
            key: key.clone(),
            phase: task.phase,
            checkpoint: (!task.checkpoint.is_empty()).then(|| task.checkpoint.as_str().into()),
            reason: task.reason.clone(),
        };
        ledger::Report {
            worker: format!("worker-{}", self.number).as_str().into(),
            incarnation: self.incarnation,
            sequence,
            boot: self.boot,
            kinds: Vec::new(),
            capacity: CAPACITY,
            room: self.admission.batch_room(&Bundle::default()),
            leaving: false,
            tasks: self.leases.tasks().map(status).collect(),
            epochs: self.leases.epochs().map(|owned| (owned.ledger, owned.epoch)).collect(),
        }
    }
}

fn observation(phase: Phase, checkpoint: Option<&Name>) -> lease::Observation {
    lease::Observation {
        phase,
        checkpoint: checkpoint.map(ToString::to_string).unwrap_or_default(),
        reason: String::new(),
        run_ms: 0,
        unsaved_ms: 0,
    }
}

fn translate(reply: &ledger::Reply, outstanding: Outstanding) -> lease::Reply {
    let grant = |grant: &ledger::Grant| lease::Grant {
        key: grant.key.clone(),
        epoch: grant.epoch,
        caller: grant.record.spec.caller.clone(),
        kind: grant.record.spec.kind.clone(),
        resources: grant.record.spec.resources,
        expected_run: Duration::from_millis(grant.record.spec.declared_run_ms),
        idempotent: grant.record.spec.idempotent,
        checkpoint: grant.record.checkpoint.as_ref().map(ToString::to_string).unwrap_or_default(),
        payload: String::new(),
        priority: grant.record.spec.priority,
    };
    let owned = |(ledger, epoch): &(u32, u64)| lease::Owned { ledger: *ledger, epoch: *epoch };
    let stop =
        |(key, epoch): &(ledger::Key, u64)| lease::StopOrder { key: key.clone(), epoch: *epoch };
    lease::Reply {
        sent: outstanding.sent,
        lease: super::entry::settings().task_lease,
        reported: outstanding.reported,
        owned: reply.owned.iter().map(owned).collect(),
        grants: reply.grants.iter().map(grant).collect(),
        stops: reply.stops.iter().map(stop).collect(),
        settled: reply.settled.clone(),
    }
}

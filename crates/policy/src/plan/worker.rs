use super::demand::Demand;
use super::load::Load;
use super::measured::Measured;
use super::message::{Incarnation, Kind, Order, Profile, Restart, Status};
use super::outbox::{self, Outbox};
use super::racks::Key;
use super::ranking::Rank;
use super::remnant::Remnant;
use serde::Serialize;
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of former processes of an agent that are remembered; a late report is seconds old.
const MAX_REPLACED: usize = 8;

/// Maximum number of runs at a worker, which bounds its agent's lists: some 200 kB.
const MAX_RUNS: usize = 4_096;

/// A run that occupies resources of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Placed {
    pub(super) need: Bundle,
    #[serde(rename = "fills")]
    pub(super) best_effort: bool,
    pub(super) image: Option<Name>,
    /// Target for the tail latency, milliseconds; 0 if the task does not serve requests.
    pub(super) target_ms: u32,
    /// The latest value of [`super::message::Run::measurement`].
    #[serde(rename = "figure")]
    pub(super) measurement: u32,
    /// Current speed after throttling, percent of full speed.
    pub(super) pace: u8,
    /// When it is expected to end, while it counts for its rack; `None` if it does not end by itself.
    #[serde(skip)]
    pub(super) ends_at: Option<Time>,
    /// When its progress was first listed, and the progress at that time, percent.
    #[serde(skip)]
    pub(super) progress_since: Option<(Time, u8)>,
    /// When its worker last listed it; zero before the first list.
    #[serde(skip)]
    pub(super) listed_at: Time,
}

impl Placed {
    /// Returns the demand of the run.
    pub(super) fn demand(&self) -> Demand {
        Demand { need: self.need, best_effort: self.best_effort, serving: self.target_ms > 0 }
    }

    /// Returns the latest tail latency of a serving task as a share of its target.
    pub(super) fn target_ratio(&self) -> f64 {
        f64::from(self.measurement) / f64::from(self.target_ms.max(1))
    }

    /// Returns the image of the run; empty if it is unknown.
    pub(super) fn image_name(&self) -> Name {
        self.image.clone().unwrap_or_else(|| Name::from(""))
    }
}

/// A worker and its agent in the owner's table.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Worker {
    /// Number of the agent's process.
    pub process: u64,
    /// Former processes of the agent, the latest last; a late report of theirs has no effect.
    #[serde(skip)]
    pub(super) replaced: VecDeque<u64>,
    /// Incarnation of the worker in the latest report.
    #[serde(rename = "lifetime")]
    pub incarnation: Option<Incarnation>,
    /// Profile of the worker, once it has registered.
    pub profile: Option<Profile>,
    /// Whether no worker runs beside the agent.
    pub vacant: bool,
    /// Whether this owner has received complete lists of its runs and ends.
    pub synced: bool,
    /// Whether the agent has read the worker's lists, by its latest report.
    #[serde(skip)]
    pub(super) is_readable: bool,
    /// Time of the agent's latest report.
    #[serde(rename = "heard")]
    pub last_report: Time,
    /// When the worker is certain to run nothing, unless the agent reports before.
    #[serde(rename = "empty")]
    pub empty_at: Time,
    /// Number of the latest report.
    pub sequence: u64,
    /// Whether the agent asked for the traits of its runs.
    #[serde(rename = "lacks_features")]
    pub lacks_traits: bool,
    /// Number of the latest report that listed the runs.
    #[serde(rename = "listed")]
    pub listed_sequence: u64,
    /// When the agent last listed the runs.
    #[serde(skip)]
    pub(super) listed_at: Time,
    /// When the worker last showed its runs: a list of a worker that does not answer shows nothing.
    #[serde(skip)]
    pub(super) alive_at: Time,
    /// When the latest start there was ordered, or the latest run was adopted.
    #[serde(skip)]
    pub(super) last_start: Time,
    /// Ends up to this number are recorded.
    pub recorded: u64,
    /// Until when the worker is ejected.
    #[serde(rename = "aside")]
    pub ejected_until: Time,
    /// Number of consecutive ejections.
    #[serde(rename = "asides")]
    pub ejections: u32,
    /// Until when it gets no tasks after it refused a start.
    #[serde(rename = "full")]
    pub paused_until: Time,
    /// Number of starts in a row that the worker or its agent refused.
    #[serde(skip)]
    pub(super) refusals: u32,
    /// Whether its failure domain is evacuated, so that nothing starts there.
    pub evacuated: bool,
    /// The latest generation of the worker, whichever process of its agent has begun it.
    #[serde(skip)]
    pub(super) generation: u64,
    /// The generation that its agent knows; `None` if the agent takes over none.
    #[serde(skip)]
    pub(super) known_generation: Option<u64>,
    /// Whether the lists of its present incarnation may still change by calls that were meant for a former one.
    #[serde(skip)]
    pub(super) is_unsettled: bool,
    /// Whether the agent knows of an evacuation, by its latest report.
    #[serde(skip)]
    pub(super) known_evacuated: bool,
    #[serde(skip)]
    pub(super) placed: BTreeMap<Task, Placed>,
    /// What its last list but for those shortly after it measured.
    #[serde(skip)]
    pub(super) measured: Option<Measured>,
    /// Runs that may still be at the worker and are the current run of no task.
    #[serde(skip)]
    pub(super) remnants: BTreeMap<(Task, u32), Remnant>,
    /// What the runs in `placed` and `remnants` reserve and are expected to use.
    #[serde(skip)]
    pub(super) load: Load,
    /// Where the table's ranking lists the worker.
    #[serde(skip)]
    pub(super) rank: Option<Rank>,
    /// The rack whose sums count the worker's runs.
    #[serde(skip)]
    pub(super) counted: Option<Key>,
    /// Whether a timer is set for the end of the last lease.
    #[serde(skip)]
    pub(super) lease_timer: bool,
    /// Whether a timer is set for the silence of the agent.
    #[serde(skip)]
    pub(super) silence_timer: bool,
    /// Whether the agent is silent, as far as that was found out since its last report.
    #[serde(skip)]
    pub(super) quiet: bool,
    #[serde(skip)]
    pub(super) outbox: Outbox,
    /// Bytes of the starts that the present pass has placed here and not ordered yet.
    #[serde(skip)]
    pub(super) placed_bytes: usize,
    #[serde(rename = "ordered")]
    pub(super) last_order: u64,
    /// Ends with higher numbers may still follow one that the agent could not read yet.
    #[serde(skip)]
    pub(super) last_end: Option<u64>,
    /// Reported ends that are not confirmed, with the job version that has to be recorded first.
    #[serde(skip)]
    pub(super) ends: BTreeMap<u64, Option<(Id, u64)>>,
    /// The incarnations whose crashes the agent reports, in its order, with the job versions that are
    /// still to be recorded.
    #[serde(skip)]
    pub(super) crashes: Vec<(Incarnation, BTreeMap<Id, u64>)>,
    /// Jobs with failed runs since the last completed run.
    #[serde(skip)]
    pub(super) failing_jobs: BTreeSet<Id>,
}

impl Worker {
    /// Returns whether the worker's status allows new tasks at `now`, regardless of free resources.
    /// An agent that has not reported for `report_timeout` gets none.
    pub fn accepts_tasks(&self, now: Time, report_timeout: std::time::Duration) -> bool {
        let ready = self.profile.as_ref().is_some_and(|profile| profile.status == Status::Ready);
        let registered = self.profile.as_ref().map(|profile| &profile.incarnation);
        ready
            && registered == self.incarnation.as_ref()
            && self.synced
            && !self.is_unsettled
            && !self.vacant
            && !self.evacuated
            && now < self.last_report.after(report_timeout)
            && self.paused_until.passed(now)
            && !self.holds_back_starts()
            && !self.is_crowded()
    }

    /// Returns whether the agent may renew leases: it has read the lists of its worker for this owner. One that
    /// has not reached its worker would move the end of a lease with each report.
    pub(super) fn may_renew(&self) -> bool {
        self.synced || self.is_readable
    }

    /// Notes which generation the agent knows.
    pub(super) fn update_generation(&mut self, restart: &Restart) {
        self.known_generation = Some(restart.generation).filter(|_| restart.has_generations);
        self.generation = self.generation.max(restart.generation);
    }

    /// Notes that the agent has found another incarnation, which may still carry out older calls. An agent begins
    /// the next generation itself, unless it started too late to know the former incarnation.
    pub(super) fn begin_incarnation(&mut self) {
        if self.known_generation.is_some() {
            self.is_unsettled = true;
        } else if !self.synced {
            self.generation += 1;
            self.is_unsettled = true;
        }
    }

    /// Returns whether the lists that `restart` describes show all that the calls to former incarnations have
    /// done.
    pub(super) fn is_settled_by(&self, restart: &Restart) -> bool {
        let Restart { generation, listed, .. } = *restart;
        !self.is_unsettled || (listed == generation && listed >= self.generation)
    }

    /// Returns whether the agent has not heard of the present generation.
    pub(super) fn needs_generation(&self) -> bool {
        self.known_generation.is_some_and(|known| known < self.generation)
    }

    /// Returns whether the agent has not received so many orders that it gets no more starts before.
    pub(super) fn holds_back_starts(&self) -> bool {
        self.outbox.bytes() + self.placed_bytes >= outbox::MAX_BYTES
    }

    /// Returns whether the worker holds as many runs as one may.
    pub(super) fn is_crowded(&self) -> bool {
        self.placed.len() + self.remnants.len() >= MAX_RUNS
    }

    /// Makes `process` the agent's process.
    pub(super) fn replace_process(&mut self, process: u64) {
        let former = std::mem::replace(&mut self.process, process);
        self.replaced.push_back(former);
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }

    /// Returns whether the worker holds runs of this owner or may do so soon, or its agent knows of a
    /// crash that is not recorded, so that a successor has to wait for its report. A new process of
    /// its agent has not listed the runs yet, which go on.
    pub(super) fn may_hold_runs(&self) -> bool {
        let empty = self.profile.as_ref().is_some_and(|p| p.status == Status::Empty);
        let unrecorded = self.crashes.iter().any(|(_, required)| !required.is_empty());
        (self.synced && !empty && !self.vacant) || self.is_occupied() || unrecorded
    }

    /// Returns whether the crash of `incarnation` is among those that the agent reports and that are
    /// counted.
    pub(super) fn knows_crash(&self, incarnation: &Incarnation) -> bool {
        self.crashes.iter().any(|(known, _)| known == incarnation)
    }

    /// Returns whether any run occupies the worker.
    pub(super) fn is_occupied(&self) -> bool {
        !self.placed.is_empty() || !self.remnants.is_empty()
    }

    /// Returns whether the worker has announced that it leaves, or is known to run nothing.
    pub(super) fn is_leaving(&self) -> bool {
        let status = self.profile.as_ref().map(|profile| profile.status);
        matches!(status, Some(Status::Draining { .. } | Status::Empty))
    }

    /// Returns whether the worker does not answer its agent, which repeats what it last listed.
    pub(super) fn is_silent(&self) -> bool {
        let status = self.profile.as_ref().map(|profile| profile.status);
        matches!(status, Some(Status::Silent | Status::Empty))
    }

    /// Adds a run.
    pub(super) fn occupy(&mut self, task: Task, placed: Placed) {
        self.load.add(&placed);
        if let Some(former) = self.placed.insert(task, placed) {
            self.load.remove(&former);
        }
    }

    /// Removes the run of `task`, if there is one. Returns whether there was one.
    pub(super) fn vacate(&mut self, task: &Task) -> bool {
        let Some(placed) = self.placed.remove(task) else { return false };
        self.load.remove(&placed);
        true
    }

    /// Returns by which share the agent slows best-effort tasks of `image` down at present.
    pub(super) fn slowdown(&self, image: Option<&Name>) -> f64 {
        let same = |placed: &&Placed| placed.best_effort && placed.image.as_ref() == image;
        let pace = self.placed.values().filter(same).map(|placed| placed.pace).min();
        1.0 - f64::from(pace.unwrap_or(100)) / 100.0
    }

    /// Counts the runs of the same step and repetition as `task`.
    pub(super) fn siblings(&self, task: &Task) -> usize {
        let first = Task { index: 0, ..*task };
        let last = Task { index: u32::MAX, ..*task };
        let remnants = self.remnants.range((first, 0)..=(last, u32::MAX));
        self.placed.range(first..=last).count() + remnants.count()
    }

    pub(super) fn push_order(&mut self, task: Task, run: u32, kind: Kind) {
        self.last_order += 1;
        self.outbox.push(Order { number: self.last_order, task, run, kind });
    }
}

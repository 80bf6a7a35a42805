use super::demand::Demand;
use super::message::{Incarnation, Kind, Order, Profile, Status};
use serde::Serialize;
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A run that takes room at a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Placed {
    pub(super) need: Bundle,
    #[serde(rename = "fills")]
    pub(super) best_effort: bool,
    pub(super) image: Option<Name>,
    /// Bound of its tail latency, milliseconds; 0 for a task that serves nobody.
    pub(super) target_ms: u32,
    /// The figure that the worker gave last; see [`super::message::Run::figure`].
    #[serde(rename = "figure")]
    pub(super) measurement: u32,
    /// The share of its speed that it has, percent.
    pub(super) pace: u8,
}

impl Placed {
    /// What it asks of a worker.
    pub(super) fn demand(&self) -> Demand {
        Demand { need: self.need, best_effort: self.best_effort, serving: self.target_ms > 0 }
    }
}

/// A worker in the owner's table, with the agent beside it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Worker {
    /// The process of the agent.
    pub process: u64,
    /// The life of the worker that was heard of last.
    #[serde(rename = "lifetime")]
    pub incarnation: Option<Incarnation>,
    /// The worker, once it has registered.
    pub profile: Option<Profile>,
    /// Whether no worker runs beside the agent.
    pub vacant: bool,
    /// Whether its complete lists were heard since this owner began.
    pub synced: bool,
    /// When the agent reported last.
    #[serde(rename = "heard")]
    pub last_report: Time,
    /// When the worker is surely empty, unless the agent reports before.
    #[serde(rename = "empty")]
    pub empty_at: Time,
    /// The last report's number.
    pub sequence: u64,
    /// Whether the agent asked what its runs are.
    #[serde(rename = "lacks_features")]
    pub lacks_traits: bool,
    /// The last report that listed what runs.
    #[serde(rename = "listed")]
    pub listed_sequence: u64,
    /// Ends up to this number are recorded.
    pub recorded: u64,
    /// When the worker gets tasks again.
    #[serde(rename = "aside")]
    pub ejected_until: Time,
    /// Times in a row that it was set aside.
    #[serde(rename = "asides")]
    pub ejections: u32,
    /// When it is tried again after it had no room.
    #[serde(rename = "full")]
    pub full_until: Time,
    #[serde(skip)]
    pub(super) placed: BTreeMap<Task, Placed>,
    #[serde(skip)]
    pub(super) outbox: VecDeque<Order>,
    #[serde(rename = "ordered")]
    pub(super) last_order: u64,
    /// Ends that were heard, with the version of the job that has to be recorded first.
    #[serde(skip)]
    pub(super) ends: BTreeMap<u64, Option<(Id, u64)>>,
    /// Jobs with failed runs since the last run that was done.
    #[serde(skip)]
    pub(super) failing_jobs: BTreeSet<Id>,
}

impl Worker {
    /// Whether new tasks may be placed here at `now`, as far as the worker's standing goes.
    pub fn accepts_tasks(&self, now: Time, quiet: std::time::Duration) -> bool {
        let ready = self.profile.as_ref().is_some_and(|profile| profile.status == Status::Ready);
        let known = self.profile.as_ref().map(|profile| &profile.incarnation);
        ready
            && known == self.incarnation.as_ref()
            && self.synced
            && !self.vacant
            && now < self.last_report.after(quiet)
            && self.full_until.passed(now)
    }

    /// Whether runs of this owner may be there, now or soon.
    pub(super) fn may_hold_runs(&self) -> bool {
        let empty = self.profile.as_ref().is_some_and(|p| p.status == Status::Empty);
        self.synced && ((!empty && !self.vacant) || !self.placed.is_empty())
    }

    /// Processors that its runs are expected to use, thousandths.
    pub(super) fn expected_use(&self, serving_use: f64) -> f64 {
        self.placed.values().map(|placed| placed.demand().expected_use(serving_use)).sum()
    }

    pub(super) fn push_order(&mut self, task: Task, run: u32, kind: Kind) {
        self.last_order += 1;
        self.outbox.push_back(Order { number: self.last_order, task, run, kind });
    }
}

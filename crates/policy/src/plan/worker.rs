use super::demand::Demand;
use super::message::{Kind, Lifetime, Order, Profile, Standing};
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
    pub(super) fills: bool,
    pub(super) image: Option<Name>,
    /// Bound of its tail latency, milliseconds; 0 for a task that serves nobody.
    pub(super) target_ms: u32,
    /// The figure that the worker gave last; see [`super::message::Run::figure`].
    pub(super) figure: u32,
    /// The share of its speed that it has, percent.
    pub(super) pace: u8,
}

impl Placed {
    /// What it asks of a worker.
    pub(super) fn demand(&self) -> Demand {
        Demand { need: self.need, fills: self.fills, serves: self.target_ms > 0 }
    }
}

/// A worker in the owner's table, with the agent beside it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Worker {
    /// The process of the agent.
    pub process: u64,
    /// The life of the worker that was heard of last.
    pub lifetime: Option<Lifetime>,
    /// The worker, once it has registered.
    pub profile: Option<Profile>,
    /// Whether no worker runs beside the agent.
    pub vacant: bool,
    /// Whether its complete lists were heard since this owner began.
    pub synced: bool,
    /// When the agent reported last.
    pub heard: Time,
    /// When the worker is surely empty, unless the agent reports before.
    pub empty: Time,
    /// The last report's number.
    pub sequence: u64,
    /// Whether the agent asked what its runs are.
    pub lacks_features: bool,
    /// The last report that listed what runs.
    pub listed: u64,
    /// Ends up to this number are recorded.
    pub recorded: u64,
    /// When the worker gets tasks again.
    pub aside: Time,
    /// Times in a row that it was set aside.
    pub asides: u32,
    /// When it is tried again after it had no room.
    pub full: Time,
    #[serde(skip)]
    pub(super) placed: BTreeMap<Task, Placed>,
    #[serde(skip)]
    pub(super) outbox: VecDeque<Order>,
    pub(super) ordered: u64,
    /// Ends that were heard, with the version of the job that has to be recorded first.
    #[serde(skip)]
    pub(super) ends: BTreeMap<u64, Option<(Id, u64)>>,
    /// Jobs with failed runs since the last run that was done.
    #[serde(skip)]
    pub(super) failing: BTreeSet<Id>,
}

impl Worker {
    /// Whether new tasks may be placed here at `now`, as far as the worker's standing goes.
    pub fn takes_tasks(&self, now: Time, quiet: std::time::Duration) -> bool {
        let ready =
            self.profile.as_ref().is_some_and(|profile| profile.standing == Standing::Ready);
        let known = self.profile.as_ref().map(|profile| &profile.lifetime);
        ready
            && known == self.lifetime.as_ref()
            && self.synced
            && !self.vacant
            && now < self.heard.after(quiet)
            && self.full.passed(now)
    }

    /// Whether runs of this owner may be there, now or soon.
    pub(super) fn may_hold(&self) -> bool {
        let empty = self.profile.as_ref().is_some_and(|p| p.standing == Standing::Empty);
        self.synced && ((!empty && !self.vacant) || !self.placed.is_empty())
    }

    /// Processors that its runs are expected to use, thousandths.
    pub(super) fn expected_use(&self, serving_use: f64) -> f64 {
        self.placed.values().map(|placed| placed.demand().expected_use(serving_use)).sum()
    }

    pub(super) fn order(&mut self, task: Task, run: u32, kind: Kind) {
        self.ordered += 1;
        self.outbox.push_back(Order { number: self.ordered, task, run, kind });
    }
}

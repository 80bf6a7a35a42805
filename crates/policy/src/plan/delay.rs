//! Where the time of an ended job went.
//!
//! The time from the receipt of a job to its end is that of a chain of tasks: the task that ended last, the
//! one that ended last among the steps that it depended on, and so on. Each of them waited, ran to no
//! avail, and ran. The chain is followed once, when the job ends.

use super::holds::REASONS;
use super::waits::Reason;
use super::{Event, Job, TaskState};
use serde::Serialize;
use shallotflow_core::graph::State;
use shallotflow_core::time::Time;
use std::time::Duration;

/// The parts of the time from the receipt of a job to its end, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Delay {
    /// Held by the rule [`Reason::Disturbing`].
    pub disturbing_ms: u64,
    /// Held by the rule [`Reason::NoRoom`].
    pub no_room_ms: u64,
    /// Held by the rule [`Reason::Rack`].
    pub rack_ms: u64,
    /// Held by the rule [`Reason::Busy`].
    pub busy_ms: u64,
    /// Waited otherwise: for its turn, an answer, a retry or the list that shows an end.
    pub other_wait_ms: u64,
    /// Used by earlier runs of these tasks, which were stopped, failed or were lost.
    pub earlier_runs_ms: u64,
    /// Duration of the shortest runs of the same steps.
    pub run_ms: u64,
    /// Time for which the runs lasted longer than those, because they are longer or were slowed down.
    pub slowed_ms: u64,
}

impl Delay {
    /// Returns the parts other than the runs themselves, with their names in metrics.
    pub fn causes(&self) -> [(&'static str, u64); 7] {
        [
            (Reason::Disturbing.as_str(), self.disturbing_ms),
            (Reason::NoRoom.as_str(), self.no_room_ms),
            (Reason::Rack.as_str(), self.rack_ms),
            (Reason::Busy.as_str(), self.busy_ms),
            ("other-wait", self.other_wait_ms),
            ("earlier-runs", self.earlier_runs_ms),
            ("slowed", self.slowed_ms),
        ]
    }
}

/// A chain of tasks of a job, followed from its end.
#[derive(Default)]
struct Chain {
    held: [Duration; REASONS.len()],
    other: Duration,
    earlier: Duration,
    run: Duration,
    slowed: Duration,
    /// Time from the end of half of the tasks of each step to that of its last.
    last_task: Duration,
}

impl Job {
    /// Describes the end of the job; `None` for jobs without an objective, whose time is that of their
    /// repetitions, or that the callers end.
    pub(super) fn ended_event(&self, state: State, now: Time) -> Option<Event> {
        if self.spec.is_long_running() || self.spec.repetitions > 0 || state == State::Cancelled {
            return None;
        }
        let chain = self.chain();
        let ms = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let [disturbing, no_room, rack, busy] = chain.held;
        let took = now.since(self.received);
        let objective = self.objective();
        let work = (0..self.spec.steps.len()).map(|step| {
            u64::from(self.spec.steps[step].count).saturating_mul(self.task_work(step))
        });
        Some(Event::Ended {
            job: self.id,
            queue: self.queue.name.clone(),
            late: took > objective || state != State::Completed,
            took_ms: ms(took),
            objective_ms: ms(objective),
            work: work.fold(0, u64::saturating_add),
            last_task_ms: ms(chain.last_task),
            delay: Delay {
                disturbing_ms: ms(disturbing),
                no_room_ms: ms(no_room),
                rack_ms: ms(rack),
                busy_ms: ms(busy),
                other_wait_ms: ms(chain.other),
                earlier_runs_ms: ms(chain.earlier),
                run_ms: ms(chain.run),
                slowed_ms: ms(chain.slowed),
            },
        })
    }

    /// Follows the tasks that ended last, from the end of the job to its receipt.
    fn chain(&self) -> Chain {
        let mut chain = Chain::default();
        let steps = 0..self.spec.steps.len();
        // The task of each step that ended last.
        let ends = steps.clone().map(|step| {
            let tasks = self.tasks[self.range(0, step)].iter();
            tasks.max_by_key(|state| state.done_at)
        });
        let ends: Vec<Option<&TaskState>> = ends.collect();
        let end = |step: usize| ends.get(step).copied().flatten();
        let mut next = steps.max_by_key(|step| end(*step).map(|state| state.done_at));
        while let Some(step) = next {
            let before = self.spec.steps[step].after.iter().map(|after| usize::from(*after));
            let before = before.max_by_key(|step| end(*step).map(|state| state.done_at));
            let opened = before.and_then(end).map_or(self.received, |state| state.done_at);
            if let Some(state) = end(step) {
                self.add_link(&mut chain, step, state, opened.max(self.received));
            }
            // A step depends on earlier ones only.
            next = before.filter(|before| *before < step);
        }
        chain
    }

    /// Adds the task that ended last of `step`, which was open from `opened` on.
    fn add_link(&self, chain: &mut Chain, step: usize, state: &TaskState, opened: Time) {
        let states = &self.tasks[self.range(0, step)];
        let duration = |state: &TaskState| state.done_at.since(state.begun);
        let run = duration(state);
        let shortest = states.iter().map(duration).filter(|span| !span.is_zero()).min();
        let shortest = shortest.unwrap_or(run).min(run);
        let took = state.done_at.since(opened);
        let wait = took.saturating_sub(run).saturating_sub(state.earlier_runs);
        let (held, other) = self.holds[step].split(wait);
        for (sum, span) in chain.held.iter_mut().zip(held) {
            *sum += span;
        }
        chain.other += other;
        chain.earlier += state.earlier_runs;
        chain.run += shortest;
        chain.slowed += run - shortest;
        // An owner does not know when its predecessors' tasks ended.
        let mut ends: Vec<Time> = states.iter().map(|state| state.done_at.max(opened)).collect();
        ends.sort_unstable();
        let half = ends.get((ends.len().max(1) - 1) / 2).copied().unwrap_or(state.done_at);
        chain.last_task += state.done_at.max(opened).since(half);
    }
}

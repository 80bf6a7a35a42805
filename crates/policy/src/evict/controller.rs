//! The controller that throttles and evicts batch work at each tick.

use super::{Candidate, Command, Pressure, Settings};
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use std::time::Duration;

/// CPU share of an unthrottled task, thousandths.
const FULL_SHARE: u32 = 1_000;

/// Throttling and eviction state of one worker.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    step: usize,
    last_step_up: Time,
    /// Start of the current calm period of quick work.
    calm_since: Option<Time>,
    /// Virtual time up to which the rate limit of evictions is used; each eviction advances it.
    allowance_used_until: Time,
}

impl Controller {
    /// Creates a controller that does not throttle.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            step: 0,
            last_step_up: Time::ZERO,
            calm_since: None,
            allowance_used_until: Time::ZERO,
        }
    }

    /// Returns the current throttling step; 0 means not throttled.
    pub fn step(&self) -> usize {
        self.step
    }

    /// Returns the current CPU share of batch work, thousandths.
    pub fn share_milli(&self) -> u32 {
        self.settings.shares_milli.get(self.step).copied().unwrap_or(FULL_SHARE)
    }

    /// Returns how many more tasks may start if quick work has the slowdown `slowdown_milli` and
    /// each task adds `added_milli` to it. If no task is `running`, at least one may start.
    pub fn admits(&self, slowdown_milli: u32, added_milli: u32, running: usize) -> u32 {
        if added_milli <= self.settings.harmless_milli {
            return u32::MAX;
        }
        let margin = self.settings.slow_milli.saturating_sub(slowdown_milli);
        let fitting = margin / added_milli;
        if running == 0 { fitting.max(1) } else { fitting }
    }

    /// Adjusts throttling to the pressure and returns the commands to carry out.
    pub fn tick(
        &mut self,
        pressure: &Pressure,
        candidates: &[Candidate],
        now: Time,
    ) -> Vec<Command> {
        let exhausted = self.adjust(pressure, candidates, now);
        let mut commands = self.throttle(candidates);
        let shortage = self.shortage(pressure);
        let evicted = self.select(&shortage, exhausted, candidates, now);
        commands.extend(evicted.into_iter().map(Command::Evict));
        commands
    }

    /// Moves a step up or down; returns `true` if quick work is still slow at the last step.
    fn adjust(&mut self, pressure: &Pressure, candidates: &[Candidate], now: Time) -> bool {
        if self.is_calm(pressure, candidates) {
            let since = *self.calm_since.get_or_insert(now);
            if self.step > 0 && since.after(self.settings.step_down).passed(now) {
                self.step -= 1;
                self.calm_since = Some(now);
            }
            return false;
        }
        self.calm_since = None;
        let due = self.last_step_up.after(self.settings.step_up).passed(now);
        if pressure.slowdown_milli < self.settings.slow_milli || !due {
            return false;
        }
        self.last_step_up = now;
        if self.step + 1 < self.settings.shares_milli.len() {
            self.step += 1;
            return false;
        }
        true
    }

    /// Returns commands for the tasks whose CPU share differs from that of the current step.
    fn throttle(&self, candidates: &[Candidate]) -> Vec<Command> {
        let mut commands = Vec::new();
        for task in candidates.iter().filter(|task| !task.stopping) {
            let share = if self.is_harmless(task) { FULL_SHARE } else { self.share_milli() };
            if task.share_milli != share {
                commands.push(Command::Throttle(task.key.clone(), share));
            }
        }
        commands
    }

    /// Whether quick work would stay fast if batch work were throttled one step less.
    fn is_calm(&self, pressure: &Pressure, candidates: &[Candidate]) -> bool {
        let shares = &self.settings.shares_milli;
        let share = |step: usize| u64::from(shares.get(step).copied().unwrap_or(FULL_SHARE));
        let share_gain = share(self.step.saturating_sub(1)).saturating_sub(share(self.step));
        let harmful = candidates.iter().filter(|task| !self.is_harmless(task));
        let added: u64 = harmful.map(|task| u64::from(task.added_milli)).sum();
        let expected =
            u64::from(pressure.slowdown_milli) + added * share_gain / u64::from(FULL_SHARE);
        expected < u64::from(self.settings.calm_milli)
    }

    fn is_harmless(&self, task: &Candidate) -> bool {
        task.added_milli <= self.settings.harmless_milli
    }

    /// Returns the resources that batch work must release.
    fn shortage(&self, pressure: &Pressure) -> Bundle {
        if pressure.wait < self.settings.wait {
            return pressure.excess;
        }
        pressure.shortage.max(&pressure.excess)
    }

    /// Selects tasks to evict until the shortage is covered, least unsaved work first; with
    /// `force_one`, at least one.
    fn select(
        &mut self,
        shortage: &Bundle,
        force_one: bool,
        candidates: &[Candidate],
        now: Time,
    ) -> Vec<Key> {
        let stopping = candidates.iter().filter(|task| task.stopping);
        let mut freed = stopping.fold(Bundle::default(), |sum, task| sum.plus(&task.resources));
        let mut running: Vec<&Candidate> =
            candidates.iter().filter(|task| !task.stopping).collect();
        running.sort_by_key(|task| (task.urgent, task.unsaved_ms));
        let mut selected = Vec::new();
        for task in running {
            let forced = force_one && selected.is_empty();
            if freed.holds(shortage) && !forced {
                break;
            }
            if !forced && !reduces_shortage(task, shortage, &freed) {
                continue;
            }
            if !self.take_allowance(now) {
                break;
            }
            freed = freed.plus(&task.resources);
            selected.push(task.key.clone());
        }
        selected
    }

    /// Takes one eviction from the rate limit; returns `false` if it is used up.
    fn take_allowance(&mut self, now: Time) -> bool {
        let each = Duration::from_secs(1) / self.settings.per_second.max(1);
        let full = now.before(each * self.settings.burst);
        let allowance_used_until = self.allowance_used_until.max(full).after(each);
        if allowance_used_until > now {
            return false;
        }
        self.allowance_used_until = allowance_used_until;
        true
    }
}

/// Whether evicting `task` reduces the remaining shortage.
fn reduces_shortage(task: &Candidate, shortage: &Bundle, freed: &Bundle) -> bool {
    let remaining = shortage.minus(freed);
    remaining.minus(&task.resources) != remaining
}

//! Decides from tick to tick how much batch work must give way.

use super::{Candidate, Command, Pressure, Settings};
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Full speed, in thousandths.
const FULL_SHARE: u32 = 1_000;

/// The state of throttling and evicting on one worker.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    step: usize,
    stepped: Time,
    /// Since when quick work is calm.
    calm_since: Option<Time>,
    /// When the allowance of evictions was, or will be, used up.
    spent: Time,
}

impl Controller {
    /// A controller that throttles nothing.
    pub fn new(settings: Settings) -> Self {
        Self { settings, step: 0, stepped: Time::ZERO, calm_since: None, spent: Time::ZERO }
    }

    /// How many steps batch work is throttled.
    pub fn step(&self) -> usize {
        self.step
    }

    /// The processor share of batch work now, thousandths.
    pub fn share_milli(&self) -> u32 {
        self.settings.shares_milli.get(self.step).copied().unwrap_or(FULL_SHARE)
    }

    /// How many more tasks, each adding `added_milli` to the run time of quick work, may start
    /// beside quick work of the slowdown `slowdown_milli`; the first one always may.
    pub fn admits(&self, slowdown_milli: u32, added_milli: u32, running: usize) -> u32 {
        if added_milli <= self.settings.harmless_milli {
            return u32::MAX;
        }
        let slack = self.settings.slow_milli.saturating_sub(slowdown_milli);
        let fitting = slack / added_milli;
        if running == 0 { fitting.max(1) } else { fitting }
    }

    /// Looks at the pressure and gives back what must change.
    pub fn tick(
        &mut self,
        pressure: &Pressure,
        candidates: &[Candidate],
        now: Time,
    ) -> Vec<Command> {
        let exhausted = self.adjust(pressure, candidates, now);
        let mut commands = self.throttle(candidates);
        let shortage = self.shortage(pressure);
        let evicted = self.choose(&shortage, exhausted, candidates, now);
        commands.extend(evicted.into_iter().map(Command::Evict));
        commands
    }

    /// Steps up or down; `true` when the last step has not helped.
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
        let due = self.stepped.after(self.settings.step_up).passed(now);
        if pressure.slowdown_milli < self.settings.slow_milli || !due {
            return false;
        }
        self.stepped = now;
        if self.step + 1 < self.settings.shares_milli.len() {
            self.step += 1;
            return false;
        }
        true
    }

    /// Sets the share of each task that does not have the share of this step.
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

    /// Whether quick work would stay fast with batch work throttled a step less.
    fn is_calm(&self, pressure: &Pressure, candidates: &[Candidate]) -> bool {
        let shares = &self.settings.shares_milli;
        let share = |step: usize| u64::from(shares.get(step).copied().unwrap_or(FULL_SHARE));
        let gained = share(self.step.saturating_sub(1)).saturating_sub(share(self.step));
        let harmful = candidates.iter().filter(|task| !self.is_harmless(task));
        let added: u64 = harmful.map(|task| u64::from(task.added_milli)).sum();
        let expected = u64::from(pressure.slowdown_milli) + added * gained / u64::from(FULL_SHARE);
        expected < u64::from(self.settings.calm_milli)
    }

    fn is_harmless(&self, task: &Candidate) -> bool {
        task.added_milli <= self.settings.harmless_milli
    }

    /// The room that batch work must give up.
    fn shortage(&self, pressure: &Pressure) -> Bundle {
        if pressure.wait < self.settings.wait {
            return pressure.excess;
        }
        pressure.shortage.max(&pressure.excess)
    }

    /// Chooses tasks to evict until the shortage is covered, least lost work first.
    fn choose(
        &mut self,
        shortage: &Bundle,
        one_more: bool,
        candidates: &[Candidate],
        now: Time,
    ) -> Vec<Key> {
        let leaving = candidates.iter().filter(|task| task.stopping);
        let mut freed = leaving.fold(Bundle::default(), |sum, task| sum.plus(&task.resources));
        let mut rest: Vec<&Candidate> = candidates.iter().filter(|task| !task.stopping).collect();
        rest.sort_by_key(|task| (task.urgent, task.unsaved_ms));
        let mut chosen = Vec::new();
        for task in rest {
            let relief = one_more && chosen.is_empty();
            if freed.holds(shortage) && !relief {
                break;
            }
            if !relief && !helps(task, shortage, &freed) {
                continue;
            }
            if !self.allow(now) {
                break;
            }
            freed = freed.plus(&task.resources);
            chosen.push(task.key.clone());
        }
        chosen
    }

    /// Takes one eviction out of the allowance, if there is one.
    fn allow(&mut self, now: Time) -> bool {
        let each = Duration::from_secs(1) / self.settings.per_second.max(1);
        let full = now.before(each * self.settings.burst);
        let spent = self.spent.max(full).after(each);
        if spent > now {
            return false;
        }
        self.spent = spent;
        true
    }
}

/// Whether the end of `task` brings some of what is still short.
fn helps(task: &Candidate, shortage: &Bundle, freed: &Bundle) -> bool {
    let still = shortage.minus(freed);
    still.minus(&task.resources) != still
}

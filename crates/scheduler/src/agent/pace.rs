//! How fast tasks that fill may work beside tasks that serve.

use super::desk::Key;
use shallotflow_core::time::Time;
use std::time::Duration;

/// The share of a target above which tasks that fill get no faster.
const NEAR: f64 = 0.85;
/// Steps down while a target is missed, percent.
const STEPS: [u8; 4] = [50, 20, 5, 0];
/// A step up once targets are kept, percent.
const UP: u8 = 15;
/// Shortest time between two steps: the worker's figures cover half a second.
const STEP_TIME: Duration = Duration::from_millis(550);

/// A serving task as the controller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Served {
    pub(super) tail_ms: u32,
    pub(super) target_ms: u32,
}

/// The pace of all tasks that fill at one worker.
///
/// The load of serving tasks swings within seconds; a missed target halves the pace at once and a
/// kept one raises it slowly, so that the pace does not follow each swing.
#[derive(Clone, Debug)]
pub(super) struct Controller {
    pace: u8,
    next: Time,
}

impl Default for Controller {
    fn default() -> Self {
        Self { pace: 100, next: Time::ZERO }
    }
}

impl Controller {
    /// The pace for the next half second, percent.
    pub(super) fn decide(&mut self, served: &[Served], now: Time) -> u8 {
        if !self.next.passed(now) {
            return self.pace;
        }
        let ratio = |served: &Served| f64::from(served.tail_ms) / f64::from(served.target_ms);
        let worst = served.iter().map(ratio).fold(0.0, f64::max);
        let before = self.pace;
        if worst > 1.0 {
            self.pace = STEPS.iter().find(|step| **step < self.pace).copied().unwrap_or(0);
        } else if worst <= NEAR {
            self.pace = self.pace.saturating_add(UP).min(100);
        }
        if self.pace != before {
            self.next = now.after(STEP_TIME);
        }
        self.pace
    }
}

/// Runs whose pace differs from the one that was decided.
pub(super) fn changes(running: &[(Key, u8)], pace: u8) -> Vec<Key> {
    running.iter().filter(|(_, own)| *own != pace).map(|(key, _)| *key).collect()
}

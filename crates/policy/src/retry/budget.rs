//! Token bucket for retries.

use super::Settings;
use shallotflow_core::time::Time;

/// Millionths in one token, the cost of a retry.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Token bucket that is refilled by first attempts and, at a low rate, by time.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// Current level, millionths of a token.
    level_micro: u64,
    last_refill: Time,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        let level_micro = u64::from(settings.burst) * MICRO_PER_TOKEN;
        Self { settings, level_micro, last_refill: Time::ZERO }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sets the retries earned by each request, thousandths.
    pub fn set_share(&mut self, share_milli: u32) {
        self.settings.share_milli = share_milli;
    }

    /// Number of whole retries left.
    pub fn remaining(&self) -> u64 {
        self.level_micro / MICRO_PER_TOKEN
    }

    /// Adds the share of a token that a first attempt earns.
    pub fn earn(&mut self) {
        self.refill(u64::from(self.settings.share_milli) * 1_000);
    }

    /// Takes a token for a retry at `now`; returns `false` if there is none.
    pub fn spend(&mut self, now: Time) -> bool {
        self.refill_by_time(now);
        let Some(level) = self.level_micro.checked_sub(MICRO_PER_TOKEN) else { return false };
        self.level_micro = level;
        true
    }

    fn refill_by_time(&mut self, now: Time) {
        let elapsed = now.as_micros().saturating_sub(self.last_refill.as_micros());
        self.last_refill = self.last_refill.max(now);
        // One token per second equals one millionth of a token per microsecond.
        self.refill(elapsed.saturating_mul(u64::from(self.settings.minimum_per_second)));
    }

    fn refill(&mut self, amount_micro: u64) {
        let most = u64::from(self.settings.burst) * MICRO_PER_TOKEN;
        self.level_micro = self.level_micro.saturating_add(amount_micro).min(most);
    }
}

//! The tokens that retries use up.

use super::Settings;
use shallotflow_core::time::Time;

/// Parts of a token: a retry costs this much.
const TOKEN_MICRO: u64 = 1_000_000;

/// A token bucket that is filled by requests and, slowly, by time.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// Millionths of a token.
    level_micro: u64,
    filled: Time,
}

impl Budget {
    /// A full budget.
    pub fn new(settings: Settings) -> Self {
        let level_micro = u64::from(settings.burst) * TOKEN_MICRO;
        Self { settings, level_micro, filled: Time::ZERO }
    }

    /// The settings of this budget.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sets the retries earned by a request, thousandths.
    pub fn set_share(&mut self, share_milli: u32) {
        self.settings.share_milli = share_milli;
    }

    /// Whole retries left.
    pub fn remaining(&self) -> u64 {
        self.level_micro / TOKEN_MICRO
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.fill(u64::from(self.settings.share_milli) * 1_000);
    }

    /// Takes a token for a retry at `now`; `false` when there is none.
    pub fn spend(&mut self, now: Time) -> bool {
        self.fill_by_time(now);
        let Some(level) = self.level_micro.checked_sub(TOKEN_MICRO) else { return false };
        self.level_micro = level;
        true
    }

    fn fill_by_time(&mut self, now: Time) {
        let elapsed = now.as_micros().saturating_sub(self.filled.as_micros());
        self.filled = self.filled.max(now);
        // One token a second is one millionth of a token a microsecond.
        self.fill(elapsed.saturating_mul(u64::from(self.settings.floor_per_second)));
    }

    fn fill(&mut self, amount_micro: u64) {
        let most = u64::from(self.settings.burst) * TOKEN_MICRO;
        self.level_micro = self.level_micro.saturating_add(amount_micro).min(most);
    }
}

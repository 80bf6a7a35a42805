//! Kinds that ran at a given time.

use super::Settings;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::VecDeque;
use std::rc::Rc;

/// Kinds that ran concurrently, by time of change.
#[derive(Clone, Debug)]
pub struct History {
    settings: Settings,
    changes: VecDeque<(Time, Rc<[Name]>)>,
}

impl History {
    /// Creates an empty history.
    pub fn new(settings: Settings) -> Self {
        Self { settings, changes: VecDeque::new() }
    }

    /// Records that exactly `kinds` run from `now` on; a kind that runs several times is repeated.
    pub fn record(&mut self, kinds: &[Name], now: Time) {
        if self.changes.back().is_some_and(|(_, last)| **last == *kinds) {
            return;
        }
        self.changes.push_back((now, kinds.into()));
        let oldest = now.before(self.settings.retention);
        // One change before the retention period stays: it records what ran when the period began.
        while self.changes.get(1).is_some_and(|(at, _)| *at <= oldest)
            || self.changes.len() > self.settings.changes
        {
            self.changes.pop_front();
        }
    }

    /// Returns the kinds that ran at `time`, or `None` if the history does not reach back that far.
    pub fn at(&self, time: Time) -> Option<&[Name]> {
        let after = self.changes.partition_point(|(at, _)| *at <= time);
        let (_, kinds) = self.changes.get(after.checked_sub(1)?)?;
        Some(kinds)
    }
}

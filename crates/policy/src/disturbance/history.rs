//! What ran at which moment.

use super::Settings;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::VecDeque;
use std::rc::Rc;

/// The kinds that ran beside each other, by the moment of each change.
#[derive(Clone, Debug)]
pub struct History {
    settings: Settings,
    changes: VecDeque<(Time, Rc<[Name]>)>,
}

impl History {
    /// A history without any change.
    pub fn new(settings: Settings) -> Self {
        Self { settings, changes: VecDeque::new() }
    }

    /// From `now` on exactly `kinds` run, each as often as it is named.
    pub fn record(&mut self, kinds: &[Name], now: Time) {
        if self.changes.back().is_some_and(|(_, last)| **last == *kinds) {
            return;
        }
        self.changes.push_back((now, kinds.into()));
        let oldest = now.before(self.settings.reach);
        // One change before the reach stays: it tells what ran at its beginning.
        while self.changes.get(1).is_some_and(|(at, _)| *at <= oldest)
            || self.changes.len() > self.settings.changes
        {
            self.changes.pop_front();
        }
    }

    /// The kinds that ran at `moment`; `None` when the history does not reach back to it.
    pub fn at(&self, moment: Time) -> Option<&[Name]> {
        let after = self.changes.partition_point(|(at, _)| *at <= moment);
        let (_, kinds) = self.changes.get(after.checked_sub(1)?)?;
        Some(kinds)
    }
}

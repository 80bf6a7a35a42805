use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::message::{Incarnation, Profile};
use std::time::Duration;

/// Consecutive registrations after which the contender is believed.
const WINNING_REGISTRATIONS: u32 = 3;
/// Least time from the first to the last of them: delayed ones arrive together.
const WINNING_TIME: Duration = Duration::from_secs(1);

/// The sender of registrations that contradict the known worker.
///
/// What is known may come from a registration that another writer sent once. The worker itself goes
/// on to register, and nobody else contradicts it for long.
pub(super) struct Contender {
    incarnation: Incarnation,
    service: Name,
    registration: u64,
    count: u32,
    since: Time,
}

impl Contender {
    /// Creates the contender of a first registration.
    pub(super) fn new(profile: &Profile, registration: u64, now: Time) -> Self {
        Self {
            incarnation: profile.incarnation.clone(),
            service: profile.service.clone(),
            registration,
            count: 1,
            since: now,
        }
    }

    /// Counts a later registration; one of another sender, or an older one, is a first registration.
    /// Returns whether the sender is believed now.
    pub(super) fn count(&mut self, profile: &Profile, registration: u64, now: Time) -> bool {
        let same = self.incarnation == profile.incarnation && self.service == profile.service;
        if !same || registration < self.registration {
            *self = Self::new(profile, registration, now);
        } else if registration > self.registration {
            self.registration = registration;
            self.count = self.count.saturating_add(1);
        }
        self.count >= WINNING_REGISTRATIONS && self.since.after(WINNING_TIME).passed(now)
    }

    /// Whether the answer to a poll that was sent at `sent` shows that another incarnation runs.
    pub(super) fn is_refuted(&self, running: &Incarnation, sent: Time) -> bool {
        self.incarnation != *running && sent >= self.since
    }
}

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Consecutive registrations after which the contender is believed.
const WINNING_REGISTRATIONS: u32 = 3;
/// Least time from the first to the last of them: delayed ones arrive together.
const WINNING_TIME: Duration = Duration::from_secs(1);

/// The sender of registrations that contradict the known worker, in the name of its incarnation.
///
/// What is known may come from a registration that another writer sent once. The worker itself goes
/// on to register, and nobody else contradicts it for long.
pub(super) struct Contender {
    service: Name,
    registration: u64,
    count: u32,
    since: Time,
}

impl Contender {
    /// Creates the contender of a first registration.
    pub(super) fn new(service: &Name, registration: u64, now: Time) -> Self {
        Self { service: service.clone(), registration, count: 1, since: now }
    }

    /// Counts a later registration; one of another sender, or an older one, is a first registration.
    /// Returns whether the sender is believed now.
    pub(super) fn count(&mut self, service: &Name, registration: u64, now: Time) -> bool {
        if self.service != *service || registration < self.registration {
            *self = Self::new(service, registration, now);
        } else if registration > self.registration {
            self.registration = registration;
            self.count = self.count.saturating_add(1);
        }
        self.count >= WINNING_REGISTRATIONS && self.since.after(WINNING_TIME).passed(now)
    }
}

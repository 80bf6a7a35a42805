//! The queue of one class of work.

use super::{Id, Ticket};
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// Waiting work, ordered by deadline and then by identifier.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<(Time, Id), Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    passed_over: u32,
}

impl Queue {
    /// Returns the number of waiting tickets.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns when the longest-waiting ticket was offered.
    pub fn oldest(&self) -> Option<Time> {
        self.waiting.values().map(|waiting| waiting.ticket.offered).min()
    }

    /// Iterates over the waiting tickets, earliest deadline first.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.waiting.values().map(|waiting| &waiting.ticket)
    }

    /// Returns the sum of the resources that the waiting tickets need.
    pub fn need(&self) -> Bundle {
        self.tickets().fold(Bundle::default(), |sum, ticket| sum.plus(&ticket.need))
    }

    /// Returns the earliest deadline in the queue.
    pub fn first_deadline(&self) -> Option<Time> {
        self.waiting.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of waiting tickets with a deadline before `deadline`.
    pub fn ahead_of(&self, deadline: Time) -> usize {
        self.waiting.range(..(deadline, Id(0))).count()
    }

    pub(super) fn push(&mut self, ticket: Ticket) {
        let waiting = Waiting { ticket, passed_over: 0 };
        self.waiting.insert((waiting.ticket.deadline, waiting.ticket.id), waiting);
    }

    pub(super) fn remove(&mut self, id: Id, deadline: Time) -> Option<Ticket> {
        self.waiting.remove(&(deadline, id)).map(|waiting| waiting.ticket)
    }

    /// Removes and returns the tickets whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some(entry) = self.waiting.first_entry() {
            if !entry.key().0.passed(now) {
                break;
            }
            expired.push(entry.remove().ticket);
        }
        expired
    }

    /// Removes and returns the first ticket that `fits`; a ticket that was passed over `max_passes`
    /// times is not passed over again.
    pub(super) fn take_fitting(
        &mut self,
        max_passes: u32,
        fits: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        let mut found = None;
        for (key, waiting) in &self.waiting {
            if fits(&waiting.ticket) {
                found = Some(*key);
                break;
            }
            if waiting.passed_over >= max_passes {
                break;
            }
        }
        let found = found?;
        for (_, waiting) in self.waiting.range_mut(..found) {
            waiting.passed_over += 1;
        }
        self.waiting.remove(&found).map(|waiting| waiting.ticket)
    }
}

//! Work of one class that waits for a start.

use super::{Id, Ticket};
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// Waiting work in the order of deadlines, then of identities.
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
    /// How much waits.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When the work that waits longest was offered.
    pub fn oldest(&self) -> Option<Time> {
        self.waiting.values().map(|waiting| waiting.ticket.offered).min()
    }

    /// The work that waits, earliest deadline first.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.waiting.values().map(|waiting| &waiting.ticket)
    }

    /// What all that waits needs together.
    pub fn need(&self) -> Bundle {
        self.tickets().fold(Bundle::default(), |sum, ticket| sum.plus(&ticket.need))
    }

    /// The earliest deadline of what waits.
    pub fn first_deadline(&self) -> Option<Time> {
        self.waiting.keys().next().map(|(deadline, _)| *deadline)
    }

    /// How much waits that has a deadline before `deadline`.
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

    /// Takes the work whose deadline has passed.
    pub(super) fn take_passed(&mut self, now: Time) -> Vec<Ticket> {
        let mut passed = Vec::new();
        while let Some(entry) = self.waiting.first_entry() {
            if !entry.key().0.passed(now) {
                break;
            }
            passed.push(entry.remove().ticket);
        }
        passed
    }

    /// Takes the first work that `fits`; work that was passed over `passes` times is not passed
    /// over again.
    pub(super) fn take_fitting(
        &mut self,
        passes: u32,
        fits: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        let mut found = None;
        for (key, waiting) in &self.waiting {
            if fits(&waiting.ticket) {
                found = Some(*key);
                break;
            }
            if waiting.passed_over >= passes {
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

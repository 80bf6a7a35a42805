//! The outcomes of a load.

use super::jobs::Jobs;
use super::tally::Tally;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;

/// The outcomes of the requests of one kind.
#[derive(Clone, Debug)]
pub struct Requests {
    /// The kind.
    pub kind: Name,
    /// Its class.
    pub class: Class,
    /// The counts and latencies.
    pub tally: Tally,
}

/// The outcomes of a load.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Quick requests and watchers, by kind.
    pub requests: Vec<Requests>,
    /// Jobs of all kinds.
    pub jobs: Jobs,
}

impl Outcomes {
    /// Adds the counts of another thread.
    pub(super) fn merge(&mut self, other: Self) {
        for requests in other.requests {
            match self.requests.iter_mut().find(|known| known.kind == requests.kind) {
                Some(known) => known.tally.merge(requests.tally),
                None => self.requests.push(requests),
            }
        }
        self.jobs.merge(&other.jobs);
    }

    /// Returns the sum over all requests of one class.
    pub fn of_class(&self, class: Class) -> Tally {
        let mut sum = Tally::default();
        for requests in self.requests.iter().filter(|requests| requests.class == class) {
            sum.merge(requests.tally.clone());
        }
        sum
    }
}

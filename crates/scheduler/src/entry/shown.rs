use foldhash::HashMap;
use shallotflow_core::graph::{Id, State};
use shallotflow_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of remembered states.
const MAX_STATES: usize = 10_000;
/// How long a state is remembered; an owner in touch with the store reads a cancel within seconds.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// Final states that this entry read from the store and showed, which the owner may not know yet.
#[derive(Default)]
pub(super) struct Shown {
    states: HashMap<Id, (State, Time)>,
    /// The remembered jobs, in order of their expiry.
    order: VecDeque<Id>,
}

impl Shown {
    /// Remembers the state of a job; returns `false` if one is remembered already.
    pub(super) fn insert(&mut self, id: Id, state: State, now: Time) -> bool {
        self.expire(now);
        if self.states.contains_key(&id) {
            return false;
        }
        if self.order.len() >= MAX_STATES {
            self.remove_oldest();
        }
        self.states.insert(id, (state, now.after(REMEMBERED_FOR)));
        self.order.push_back(id);
        true
    }

    /// The state of a job that was shown.
    pub(super) fn get(&mut self, id: Id, now: Time) -> Option<State> {
        self.expire(now);
        self.states.get(&id).map(|(state, _)| *state)
    }

    fn expire(&mut self, now: Time) {
        let expired = |id: &Id| self.states.get(id).is_none_or(|(_, expires)| expires.passed(now));
        let expired = self.order.iter().take_while(|id| expired(id)).count();
        for _ in 0..expired {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.states.remove(&id);
        }
    }
}

use super::budget::Budget;
use super::turn::yield_turn;
use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// It waits for a request since then.
    Idle(Instant),
    /// It receives a request, whose first byte arrived then.
    Receiving(Instant),
    /// Its request was received whole and is being answered.
    Answering,
}

/// The part of an account that the budget shares with it.
pub(super) struct State {
    pub(super) listener: usize,
    /// Bytes that are charged.
    pub(super) held: Cell<usize>,
    pub(super) phase: Cell<Phase>,
    evicted: Cell<bool>,
    eviction: Event,
}

impl State {
    pub(super) fn new(listener: usize) -> Self {
        Self {
            listener,
            held: Cell::default(),
            phase: Cell::new(Phase::Idle(Instant::now())),
            evicted: Cell::default(),
            eviction: Event::new(),
        }
    }

    /// Returns what an unfinished request has cost: its bytes times the milliseconds since the first byte arrived
    /// plus one.
    pub(super) fn cost(&self, now: Instant) -> Option<u128> {
        match self.phase.get() {
            Phase::Receiving(since) if !self.evicted.get() => {
                let age = now.saturating_duration_since(since).as_millis() + 1;
                Some(age * self.held.get().max(1) as u128)
            }
            _ => None,
        }
    }

    /// Asks the connection to close.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        // It must not be chosen again before it closes.
        self.phase.set(Phase::Answering);
        self.eviction.notify(usize::MAX);
    }
}

/// What one connection holds of the [`Budget`]; closed when it is dropped.
pub(super) struct Account {
    budget: Budget,
    number: u64,
    state: Rc<State>,
}

impl Account {
    pub(super) fn new(budget: Budget, number: u64, state: Rc<State>) -> Self {
        Self { budget, number, state }
    }

    /// Returns a handle that outlives the account.
    pub(super) fn state(&self) -> Rc<State> {
        self.state.clone()
    }

    /// Charges what the connection holds now, bytes.
    pub(super) fn charge(&self, held: usize) {
        if !self.is_evicted() {
            self.budget.charge(&self.state, held);
        }
    }

    /// Notes what the connection is doing.
    pub(super) fn set_phase(&self, phase: Phase) {
        if !self.is_evicted() {
            self.state.phase.set(phase);
        }
    }

    /// Waits until the connection may go on reading.
    pub(super) async fn wait_turn(&self) {
        yield_turn().await;
        while !self.budget.take_turn() {
            yield_turn().await;
        }
    }

    /// Returns whether the connection has to close.
    pub(super) fn is_evicted(&self) -> bool {
        self.state.evicted.get()
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.close(self.number);
    }
}

/// Waits until the connection has to close.
pub(super) async fn wait_evicted(state: Rc<State>) {
    while !state.evicted.get() {
        state.eviction.listen().await;
    }
}

//! One budget for the bytes that all connections of a process hold.
//!
//! A limit on each message and each connection bounds no sum. Every connection has an account that is charged
//! with what it holds as bytes arrive: read buffers, heads, and bodies until their requests are answered.
//! When the sum exceeds the budget, the connections that have cost it most are closed without an
//! answer, so that a crowd whose requests never end does not hold the budget against newcomers. The cost is the
//! product of the bytes and the time since the first of them: that of an ordinary request is small. Only
//! requests that have not been received whole are closed, so none of them has run.

use super::account::{Account, Phase, State};
use metrics::counter;
use shallotflow_core::metric;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Part of the budget that is free after connections were closed, so that they are compared once for many
/// arrivals.
const FREED_PART: usize = 8;
/// Connections with much to read that go on in one interval, so that timers and other work come in between
/// however many there are.
const TURNS: usize = 8;
const TURN_INTERVAL: Duration = Duration::from_millis(1);
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The budget of a process; clones share it.
#[derive(Clone)]
pub struct Budget {
    inner: Rc<Inner>,
}

struct Inner {
    limit: usize,
    used: Cell<usize>,
    accounts: RefCell<BTreeMap<u64, Rc<State>>>,
    opened: Cell<u64>,
    listeners: Cell<usize>,
    /// Connections that went on in the present interval, and when it began.
    turns: Cell<(Option<Instant>, usize)>,
    /// Connections that were closed since the last log line, and when the next one may be written.
    closed: Cell<u64>,
    log_at: Cell<Option<Instant>>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let inner = Inner {
            limit,
            used: Cell::default(),
            accounts: RefCell::default(),
            opened: Cell::default(),
            listeners: Cell::default(),
            turns: Cell::default(),
            closed: Cell::default(),
            log_at: Cell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns the number of a new listener, whose connections make room for each other.
    pub(super) fn add_listener(&self) -> usize {
        let listener = self.inner.listeners.get();
        self.inner.listeners.set(listener + 1);
        listener
    }

    /// Opens the account of a connection.
    pub(super) fn open(&self, listener: usize) -> Account {
        let number = self.inner.opened.get();
        self.inner.opened.set(number + 1);
        let state = Rc::new(State::new(listener));
        self.inner.accounts.borrow_mut().insert(number, state.clone());
        Account::new(self.clone(), number, state)
    }

    /// Returns whether a connection with much to read may go on.
    pub(super) fn take_turn(&self) -> bool {
        let now = Instant::now();
        let (since, turns) = self.inner.turns.get();
        let is_over = since.is_none_or(|since| now >= since + TURN_INTERVAL);
        let (since, turns) = if is_over { (Some(now), 0) } else { (since, turns) };
        self.inner.turns.set((since, turns + 1));
        turns < TURNS
    }

    /// Closes the account of a connection.
    pub(super) fn close(&self, number: u64) {
        if let Some(state) = self.inner.accounts.borrow_mut().remove(&number) {
            self.inner.used.set(self.inner.used.get() - state.held.get());
        }
    }

    /// Changes what a connection holds, and closes connections if the sum exceeds the budget.
    pub(super) fn charge(&self, state: &State, held: usize) {
        let used = self.inner.used.get() - state.held.get() + held;
        let grown = held > state.held.replace(held);
        self.inner.used.set(used);
        if grown && used > self.inner.limit {
            self.make_room();
        }
    }

    /// Closes the connections with unfinished requests that have cost the budget most. Requests that are being
    /// answered keep what they hold, so newcomers are closed if these use it up.
    fn make_room(&self) {
        let now = Instant::now();
        let accounts = self.inner.accounts.borrow();
        let unfinished = accounts.values().filter_map(|state| Some((state.cost(now)?, state)));
        let mut unfinished: Vec<(u128, &Rc<State>)> = unfinished.collect();
        unfinished.sort_unstable_by_key(|(cost, _)| std::cmp::Reverse(*cost));
        let wanted = self.inner.limit - self.inner.limit / FREED_PART;
        for (_, state) in unfinished {
            if self.inner.used.get() <= wanted {
                break;
            }
            self.evict(state, "memory", now);
        }
    }

    /// Closes the connection of `listener` with the costliest unfinished request, or the one that has been
    /// idle for longest. Returns whether there was one.
    pub(super) fn replace_connection(&self, listener: usize) -> bool {
        let now = Instant::now();
        let accounts = self.inner.accounts.borrow();
        let of_listener = || accounts.values().filter(|state| state.listener == listener);
        let costliest = of_listener().filter_map(|state| Some((state.cost(now)?, state)));
        let costliest = costliest.max_by_key(|(cost, _)| *cost).map(|(_, state)| state);
        let idlest = || {
            let idle = of_listener().filter_map(|state| match state.phase.get() {
                Phase::Idle(since) => Some((since, state)),
                _ => None,
            });
            idle.min_by_key(|(since, _)| *since).map(|(_, state)| state)
        };
        let Some(state) = costliest.or_else(idlest) else { return false };
        self.evict(state, "connections", now);
        true
    }

    fn evict(&self, state: &State, limit: &'static str, now: Instant) {
        // The connection releases its buffers when it is polled next.
        self.inner.used.set(self.inner.used.get() - state.held.take());
        state.evict();
        counter!(metric::HTTP_EVICTIONS, "limit" => limit).increment(1);
        let inner = &self.inner;
        inner.closed.set(inner.closed.get() + 1);
        if inner.log_at.get().is_none_or(|at| now >= at) {
            inner.log_at.set(Some(now + LOG_INTERVAL));
            let (count, used) = (inner.closed.take(), inner.used.get());
            spdlog::warn!("connections closed", kv: { limit, count, used, budget = inner.limit });
        }
    }
}

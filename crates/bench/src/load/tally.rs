//! What came of the requests of one kind.

use super::token::Token;
use hdrhistogram::Histogram;
use shallotflow_core::outcome::Outcome;
use std::time::Duration;

const LOWEST_US: u64 = 1;
const HIGHEST_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const WINDOW: Duration = Duration::from_millis(250);

/// Latencies in microseconds.
pub type Latencies = Histogram<u64>;

/// An empty histogram.
///
/// # Panics
///
/// Never: the bounds are constant and valid.
pub fn latencies() -> Latencies {
    Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

/// What is known of one request at its end.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The request.
    pub token: Token,
    /// When it was due, from the start of the run.
    pub due: Duration,
    /// Time from then to the end of the answer.
    pub latency: Duration,
    /// Part of the latency before the request started at a target.
    pub waited: Duration,
    /// What the system said of it.
    pub outcome: Outcome,
    /// Whether the answer was the whole answer to this request, where one was due.
    pub intact: bool,
    /// Whether it ended within its deadline.
    pub in_time: bool,
}

/// Requests that were due within one window of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Requests due.
    pub sent: u64,
    /// Of those, done.
    pub done: u64,
    /// Of those, done within their deadline.
    pub in_time: u64,
    /// The slowest of those, microseconds.
    pub slowest_us: u64,
    /// The sum over those, microseconds.
    pub total_us: u64,
}

/// Counts and latencies of one kind.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that were due.
    pub sent: u64,
    /// Requests done.
    pub done: u64,
    /// Requests that the system said were not run.
    pub not_run: u64,
    /// Requests of which nothing is known.
    pub unknown: u64,
    /// Requests done within their deadline.
    pub in_time: u64,
    /// Answers that were mixed up or truncated.
    pub corrupted: u64,
    /// Latency of requests done, from the time they were due.
    pub latency: Latencies,
    /// Time that requests done waited before they started at a target.
    pub waited: Latencies,
    /// How late the generator itself sent requests.
    pub lag: Latencies,
    /// Requests that the system said were not run.
    pub not_run_tokens: Vec<Token>,
    /// Windows of [`Tally::WINDOW`] from the start of the run.
    pub windows: Vec<Window>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            done: 0,
            not_run: 0,
            unknown: 0,
            in_time: 0,
            corrupted: 0,
            latency: latencies(),
            waited: latencies(),
            lag: latencies(),
            not_run_tokens: Vec::new(),
            windows: Vec::new(),
        }
    }
}

impl Tally {
    /// The length of a window.
    pub const WINDOW: Duration = WINDOW;

    /// Counts a request that is sent `lag` after it was due.
    pub fn record_sent(&mut self, due: Duration, lag: Duration) {
        self.sent += 1;
        self.window(due).sent += 1;
        self.lag.saturating_record(micros(lag));
    }

    /// Counts the end of a request.
    pub fn record_end(&mut self, completion: &Completion) {
        match completion.outcome {
            Outcome::Done => self.record_done(completion),
            Outcome::NotRun => {
                self.not_run += 1;
                self.not_run_tokens.push(completion.token);
            }
            Outcome::Unknown => self.unknown += 1,
        }
    }

    /// Requests that have neither ended nor been given up.
    pub fn open(&self) -> u64 {
        self.sent - self.done - self.not_run - self.unknown
    }

    /// Adds what another thread counted.
    pub fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.in_time += other.in_time;
        self.corrupted += other.corrupted;
        self.not_run_tokens.extend(other.not_run_tokens);
        // Histograms with the same bounds always add up.
        let _ = self.latency.add(other.latency);
        let _ = self.waited.add(other.waited);
        let _ = self.lag.add(other.lag);
        for (index, window) in other.windows.into_iter().enumerate() {
            let own = self.window(WINDOW * u32::try_from(index).unwrap_or(u32::MAX));
            own.sent += window.sent;
            own.done += window.done;
            own.in_time += window.in_time;
            own.total_us += window.total_us;
            own.slowest_us = own.slowest_us.max(window.slowest_us);
        }
    }

    fn record_done(&mut self, completion: &Completion) {
        self.done += 1;
        self.in_time += u64::from(completion.in_time);
        self.corrupted += u64::from(!completion.intact);
        let latency_us = micros(completion.latency);
        self.latency.saturating_record(latency_us);
        self.waited.saturating_record(micros(completion.waited));
        let window = self.window(completion.due);
        window.done += 1;
        window.in_time += u64::from(completion.in_time);
        window.total_us += latency_us;
        window.slowest_us = window.slowest_us.max(latency_us);
    }

    fn window(&mut self, at: Duration) -> &mut Window {
        let index = (at.as_millis() / WINDOW.as_millis()) as usize;
        if self.windows.len() <= index {
            self.windows.resize(index + 1, Window::default());
        }
        &mut self.windows[index]
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

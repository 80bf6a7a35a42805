//! Counts and latencies of the requests of one kind.

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

/// Returns an empty histogram.
///
/// # Panics
///
/// Never: the bounds are constant and valid.
pub fn latencies() -> Latencies {
    Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

/// The result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The identity of the request.
    pub token: Token,
    /// When it was due, from the start of the run.
    pub due: Duration,
    /// Time from `due` to the end of the answer.
    pub latency: Duration,
    /// Time from sending the request to its start at a target; part of the latency.
    pub waited: Duration,
    /// The outcome that the system reported.
    pub outcome: Outcome,
    /// Whether the answer is complete and belongs to this request; true without an answer.
    pub intact: bool,
    /// Whether it ended within its deadline.
    pub in_time: bool,
}

/// Requests that were due within one window of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Requests due.
    pub sent: u64,
    /// Requests done.
    pub done: u64,
    /// Requests done within their deadline.
    pub in_time: u64,
    /// Highest latency of the requests done, microseconds.
    pub slowest_us: u64,
    /// Sum of the latencies of the requests done, microseconds.
    pub total_us: u64,
}

/// Counts and latencies of one kind.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that were due.
    pub sent: u64,
    /// Requests done.
    pub done: u64,
    /// Requests that the system reported as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests done within their deadline.
    pub in_time: u64,
    /// Answers that were truncated or belonged to another request.
    pub corrupted: u64,
    /// Latency of requests done, measured from when they were due.
    pub latency: Latencies,
    /// Time from sending a request to its start at a target, for requests done.
    pub waited: Latencies,
    /// How late the generator sent requests.
    pub lag: Latencies,
    /// Tokens of the requests that the system reported as not run.
    pub not_run_tokens: Vec<Token>,
    /// Consecutive windows of length [`Tally::WINDOW`], from the start of the run.
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

    /// Requests in flight.
    pub fn open(&self) -> u64 {
        self.sent - self.done - self.not_run - self.unknown
    }

    /// Adds the counts of another thread.
    pub fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.in_time += other.in_time;
        self.corrupted += other.corrupted;
        self.not_run_tokens.extend(other.not_run_tokens);
        // Adding histograms with the same bounds never fails.
        let _ = self.latency.add(other.latency);
        let _ = self.waited.add(other.waited);
        let _ = self.lag.add(other.lag);
        for (index, window) in other.windows.into_iter().enumerate() {
            let sum = self.window(WINDOW * u32::try_from(index).unwrap_or(u32::MAX));
            sum.sent += window.sent;
            sum.done += window.done;
            sum.in_time += window.in_time;
            sum.total_us += window.total_us;
            sum.slowest_us = sum.slowest_us.max(window.slowest_us);
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

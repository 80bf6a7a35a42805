//! Log lines for messages and records that are refused, at a bounded rate.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Maximum number of lines in a window.
const MAX_LINES: u32 = 10;
/// The window.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum length of a reason, in characters; a reason may quote the message.
const MAX_REASON_CHARS: usize = 300;

/// Logs the refused messages of one kind. Lines over the limit are counted, and the count is logged
/// with the first line of a later window.
#[derive(Debug)]
pub struct Refusals {
    what: &'static str,
    window_end: Cell<Option<Instant>>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
}

impl Refusals {
    /// Creates a log whose lines have the text `what`.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            window_end: Cell::default(),
            lines: Cell::default(),
            left_out: Cell::default(),
        }
    }

    /// Logs that a message of `from`, or the record under that key, is refused. Returns whether a line was
    /// written.
    pub fn log(&self, from: &str, reason: &str, now: Instant) -> bool {
        if self.window_end.get().is_none_or(|end| now >= end) {
            self.window_end.set(now.checked_add(WINDOW));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            self.left_out.set(self.left_out.get().saturating_add(1));
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        let from = shorten(from);
        let reason = shorten(reason);
        let left_out = self.left_out.take();
        spdlog::warn!("{}", self.what, kv: { id = from, reason, left_out });
        true
    }
}

/// Limits the length of a text that may quote a message.
pub fn shorten(text: &str) -> String {
    text.chars().take(MAX_REASON_CHARS).collect()
}

//! One log line for each decision, within a bounded rate.

use crate::refusals::Refusals;
use serde::Serialize;
use std::cell::Cell;
use std::fmt::Display;
use std::time::{Duration, Instant};

/// Maximum number of decision lines per second; further lines are only counted. Ten times what a
/// busy entry writes, and below 1% of its processor.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Maximum number of summaries of ended jobs per second, which do not share the limit above: without them,
/// nothing says where the time of a late job went.
const MAX_SUMMARIES_PER_SECOND: u32 = 100;

/// The start of the present second, and the lines that were written and left out in it.
type Window = Cell<(Option<Instant>, u32, u32)>;

thread_local! {
    static DECISIONS: Window = const { Cell::new((None, 0, 0)) };
    static SUMMARIES: Window = const { Cell::new((None, 0, 0)) };
    static RECORDS: Refusals = Refusals::new("record refused");
}

/// Logs one decision, unless the limit of this second is reached.
pub fn decision(what: &'static str, details: &impl Serialize) {
    if DECISIONS.with(|window| admits(window, MAX_LINES_PER_SECOND)) {
        line(what, details);
    }
}

/// Logs the summary of a job, unless the limit of this second is reached.
pub fn summary(what: &'static str, details: &impl Serialize) {
    if SUMMARIES.with(|window| admits(window, MAX_SUMMARIES_PER_SECOND)) {
        line(what, details);
    }
}

/// Counts one line; returns whether it is written.
fn admits(window: &Window, limit: u32) -> bool {
    let (since, lines, dropped) = window.get();
    let now = Instant::now();
    let new_window = since.is_none_or(|since| now.duration_since(since) > Duration::from_secs(1));
    if new_window && dropped > 0 {
        spdlog::warn!("lines left out", kv: { count = dropped });
    }
    let (since, lines, dropped) =
        if new_window { (Some(now), 0, 0) } else { (since, lines, dropped) };
    let admitted = lines < limit;
    let (lines, dropped) = if admitted { (lines + 1, dropped) } else { (lines, dropped + 1) };
    window.set((since, lines, dropped));
    admitted
}

/// Logs that the record under `key` is refused, at a bounded rate.
pub fn refused(key: &str, reason: &dyn Display) {
    RECORDS.with(|records| records.log(key, &reason.to_string(), Instant::now()));
}

/// Logs one line whose rate the caller bounds.
pub(crate) fn line(what: &'static str, details: &impl Serialize) {
    // Serializing plain structs of numbers and names cannot fail.
    let details = serde_json::to_value(details).unwrap_or_default();
    spdlog::info!("{}", what, kv: { details:serde });
}

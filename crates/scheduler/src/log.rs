//! One log line for each decision, within a bounded rate.

use crate::refusals::Refusals;
use serde::Serialize;
use std::cell::Cell;
use std::fmt::Display;
use std::time::{Duration, Instant};

/// Maximum number of decision lines per second; further lines are only counted. Ten times what a
/// busy entry writes, and below 1% of its processor.
const MAX_LINES_PER_SECOND: u32 = 400;

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32, u32)> = const { Cell::new((None, 0, 0)) };
    static RECORDS: Refusals = Refusals::new("record refused");
}

/// Logs one decision, unless the limit of this second is reached.
pub fn decision(what: &'static str, details: &impl Serialize) {
    let (since, lines, dropped) = WINDOW.get();
    let now = Instant::now();
    let new_window = since.is_none_or(|since| now.duration_since(since) > Duration::from_secs(1));
    if new_window && dropped > 0 {
        spdlog::warn!("lines left out", kv: { count = dropped });
    }
    let (since, lines, dropped) =
        if new_window { (Some(now), 0, 0) } else { (since, lines, dropped) };
    if lines >= MAX_LINES_PER_SECOND {
        WINDOW.set((since, lines, dropped + 1));
        return;
    }
    WINDOW.set((since, lines + 1, dropped));
    line(what, details);
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

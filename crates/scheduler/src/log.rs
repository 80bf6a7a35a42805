//! One line for each decision, within a bounded rate.

use serde::Serialize;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines of decisions a second; more are counted and left out. Ten times what a busy entry writes
/// on the floors that were measured, and below 1% of its processor.
const LINES_PER_SECOND: u32 = 400;

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32, u32)> = const { Cell::new((None, 0, 0)) };
}

/// Writes one decision as a line, unless the second's lines are used up.
pub fn decision(what: &'static str, details: &impl Serialize) {
    let (since, lines, left_out) = WINDOW.get();
    let now = Instant::now();
    let fresh = since.is_none_or(|since| now.duration_since(since) > Duration::from_secs(1));
    if fresh && left_out > 0 {
        spdlog::warn!("lines left out", kv: { count = left_out });
    }
    let (since, lines, left_out) = if fresh { (Some(now), 0, 0) } else { (since, lines, left_out) };
    if lines >= LINES_PER_SECOND {
        WINDOW.set((since, lines, left_out + 1));
        return;
    }
    WINDOW.set((since, lines + 1, left_out));
    // Serialising plain structs of numbers and names cannot fail.
    let details = serde_json::to_value(details).unwrap_or_default();
    spdlog::info!("{}", what, kv: { details:serde });
}

//! One log line for each decision and each refused record, within a bounded rate.

use serde::Serialize;
use std::cell::Cell;
use std::fmt::Display;
use std::thread::LocalKey;
use std::time::{Duration, Instant};

/// The start of the present second, its lines, and the lines left out in it.
type Window = (Option<Instant>, u32, u32);

/// Maximum number of decision lines per second; further lines are only counted. Ten times what a
/// busy entry writes, and below 1% of its processor.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Maximum number of lines on refused records per second; another writer may write without a pause.
const MAX_REFUSED_PER_SECOND: u32 = 5;

thread_local! {
    static REFUSED: Cell<Window> = const { Cell::new((None, 0, 0)) };
    static WINDOW: Cell<Window> = const { Cell::new((None, 0, 0)) };
}

/// Logs one decision, unless the limit of this second is reached.
pub fn decision(what: &'static str, details: &impl Serialize) {
    if within_limit(&WINDOW, MAX_LINES_PER_SECOND) {
        line(what, details);
    }
}

/// Logs that the record under `key` is refused, unless the limit of this second is reached.
pub fn refused(key: &str, reason: &dyn Display) {
    if within_limit(&REFUSED, MAX_REFUSED_PER_SECOND) {
        spdlog::warn!("record refused", kv: { key, reason = reason.to_string() });
    }
}

/// Whether another line is within the limit of this second; counts it.
fn within_limit(window: &'static LocalKey<Cell<Window>>, limit: u32) -> bool {
    let (since, lines, dropped) = window.get();
    let now = Instant::now();
    let new_window = since.is_none_or(|since| now.duration_since(since) > Duration::from_secs(1));
    if new_window && dropped > 0 {
        spdlog::warn!("lines left out", kv: { count = dropped });
    }
    let (since, lines, dropped) =
        if new_window { (Some(now), 0, 0) } else { (since, lines, dropped) };
    if lines >= limit {
        window.set((since, lines, dropped.saturating_add(1)));
        return false;
    }
    window.set((since, lines + 1, dropped));
    true
}

/// Logs one line whose rate the caller bounds.
pub(crate) fn line(what: &'static str, details: &impl Serialize) {
    // Serializing plain structs of numbers and names cannot fail.
    let details = serde_json::to_value(details).unwrap_or_default();
    spdlog::info!("{}", what, kv: { details:serde });
}

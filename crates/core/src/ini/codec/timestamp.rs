//! Timestamps.

use super::Codec;
use chrono::{DateTime, SecondsFormat, Utc};

/// A timestamp of the form `2026-12-31T18:00:00Z`, stored as seconds since the Unix epoch.
#[derive(Debug)]
pub struct Timestamp;

impl Codec for Timestamp {
    type Value = u64;
    const EXPECTED: &'static str = "a time in UTC, such as `2026-12-31T18:00:00Z`";

    fn parse(text: &str) -> Option<u64> {
        let time = DateTime::parse_from_rfc3339(text).ok()?;
        u64::try_from(time.timestamp()).ok()
    }

    fn print(value: &u64) -> String {
        let time = i64::try_from(*value).ok().and_then(|s| DateTime::from_timestamp(s, 0));
        time.unwrap_or(DateTime::<Utc>::MAX_UTC).to_rfc3339_opts(SecondsFormat::Secs, true)
    }
}

//! Formats log records as JSON lines.

use crate::program;
use chrono::{DateTime, SecondsFormat, Utc};
use serde::ser::SerializeMap;
use serde::{Serialize, Serializer};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Record, StringBuf};
use std::fmt::Write;

/// Formats each record as one JSON object.
#[derive(Clone, Copy, Debug, Default)]
pub struct Json;

impl Formatter for Json {
    fn format(
        &self,
        record: &Record<'_>,
        line: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let object = serde_json::to_string(&Line(record))
            .map_err(|error| spdlog::Error::SerializeRecord(error.into()))?;
        writeln!(line, "{object}").map_err(spdlog::Error::FormatRecord)
    }
}

struct Line<'a, 'b>(&'a Record<'b>);

impl Serialize for Line<'_, '_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let record = self.0;
        let time: DateTime<Utc> = record.time().into();
        let identity = program::identity();
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("time", &time.to_rfc3339_opts(SecondsFormat::Micros, true))?;
        map.serialize_entry("level", record.level().as_str())?;
        if let Some(identity) = identity {
            map.serialize_entry("process", &*identity.name)?;
            map.serialize_entry("program", identity.program)?;
        }
        map.serialize_entry("target", target(record))?;
        map.serialize_entry("message", record.payload())?;
        for (key, value) in record.key_values() {
            map.serialize_entry(key.as_str(), &value)?;
        }
        map.end()
    }
}

/// The path of the module that logged the record.
pub(super) fn target<'a>(record: &'a Record<'_>) -> &'a str {
    record.source_location().map_or("", |location| location.module_path())
}

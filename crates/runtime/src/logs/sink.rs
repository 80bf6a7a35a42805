//! A log sink that applies the filter of the program.

use super::format::target;
use crate::program;
use shallotflow_core::log::Level;
use spdlog::Record;
use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkPropAccess};
use spdlog::{ErrorHandler, LevelFilter};
use std::sync::Arc;

/// Forwards the records that the filter of the calling thread's program allows.
pub struct Filtered {
    inner: Arc<dyn Sink>,
}

impl Filtered {
    /// Creates a sink that forwards allowed records to `inner`.
    pub fn new(inner: Arc<dyn Sink>) -> Self {
        Self { inner }
    }
}

impl SinkPropAccess for Filtered {
    fn level_filter(&self) -> LevelFilter {
        self.inner.level_filter()
    }

    fn set_level_filter(&self, filter: LevelFilter) {
        self.inner.set_level_filter(filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.inner.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.inner.set_error_handler(handler);
    }
}

impl Sink for Filtered {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        if program::allows(level(record.level()), target(record)) {
            self.inner.log(record)?;
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.inner.flush()
    }
}

fn level(level: spdlog::Level) -> Level {
    match level {
        spdlog::Level::Critical => Level::Critical,
        spdlog::Level::Error => Level::Error,
        spdlog::Level::Warn => Level::Warn,
        spdlog::Level::Info => Level::Info,
        spdlog::Level::Debug => Level::Debug,
        spdlog::Level::Trace => Level::Trace,
    }
}

//! Logs as JSON lines on the standard error stream.
//!
//! A line has `time`, `level`, `process`, `program`, `target` and `message`, followed by the
//! key-values of the call; a request's identifier goes under `request`. [`shallotflow_core::log`]
//! has the form of the filter.

mod format;
mod sink;

pub use format::Json;
pub use sink::Filtered;

use spdlog::sink::WriteSink;
use spdlog::{ErrorHandler, LevelFilter, Logger};
use std::io::Write;
use std::sync::{Arc, Once};

/// The environment variable whose filter goes before that of the settings.
pub const FILTER_VARIABLE: &str = "SHALLOTFLOW_LOG";

/// Installs the logger of this process once; later calls do nothing.
pub(crate) fn install() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        if let Ok(logger) = logger(std::io::stderr()) {
            spdlog::set_default_logger(logger);
        }
    });
}

/// A logger that writes lines to `output`, filtered for the program of the calling thread.
///
/// # Errors
///
/// Fails when the logging library refuses its parts.
pub fn logger(output: impl Write + Send + 'static) -> spdlog::Result<Arc<Logger>> {
    let sink = WriteSink::builder()
        .target(output)
        .formatter(Json)
        // Nothing is left to report to when the log itself cannot be written.
        .error_handler(ErrorHandler::new(|_| {}))
        .build_arc()?;
    Logger::builder().sink(Arc::new(Filtered::new(sink))).level_filter(LevelFilter::All).build_arc()
}

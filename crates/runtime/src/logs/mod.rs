//! Logs as JSON lines on the standard error stream, or on the standard output.
//!
//! A line has `time`, `level`, `process`, `program`, `target` and `message`, followed by the
//! key-values of the call; a request's identifier goes under `request`. [`shallotflow_core::log`]
//! has the form of the filter.

mod format;
mod sink;

mod stdout;

pub use format::Json;
pub use sink::Filtered;
pub use stdout::Stdout;

use spdlog::sink::WriteSink;
use spdlog::{ErrorHandler, LevelFilter, Logger};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Once};

/// The environment variable whose filter goes before that of the settings.
pub const FILTER_VARIABLE: &str = "SHALLOTFLOW_LOG";

static TO_STDOUT: AtomicBool = AtomicBool::new(false);

/// Has this process write its lines to the standard output; has to come before any line.
///
/// Lines that the reader does not take in time are counted and left out.
pub fn to_stdout() {
    TO_STDOUT.store(true, Ordering::Relaxed);
    install();
}

/// Installs the logger of this process once; later calls do nothing.
pub(crate) fn install() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        let logger = if TO_STDOUT.load(Ordering::Relaxed) {
            logger(Stdout::default())
        } else {
            logger(std::io::stderr())
        };
        if let Ok(logger) = logger {
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

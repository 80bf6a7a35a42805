//! Logs as JSON lines on standard error or standard output.
//!
//! A line has `time`, `level`, `process`, `program`, `target` and `message`, followed by the
//! key-value pairs of the call; the identifier of a request has the key `request`.
//! [`shallotflow_core::log`] describes the syntax of the filter.

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

/// The environment variable whose filter overrides the one in the settings.
pub const FILTER_VARIABLE: &str = "SHALLOTFLOW_LOG";

static TO_STDOUT: AtomicBool = AtomicBool::new(false);

/// Makes this process log to standard output; must be called before the first line is logged.
///
/// Lines that the reader is too slow for are counted and dropped.
pub fn to_stdout() {
    TO_STDOUT.store(true, Ordering::Relaxed);
    install();
}

/// Installs the logger of this process; later calls have no effect.
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

/// Creates a logger that writes lines to `output`, filtered by the program of the calling thread.
///
/// # Errors
///
/// Fails if the logging library rejects the sink or the logger.
pub fn logger(output: impl Write + Send + 'static) -> spdlog::Result<Arc<Logger>> {
    let sink = WriteSink::builder()
        .target(output)
        .formatter(Json)
        // Ignored, because there is nowhere to report that the log cannot be written.
        .error_handler(ErrorHandler::new(|_| {}))
        .build_arc()?;
    Logger::builder().sink(Arc::new(Filtered::new(sink))).level_filter(LevelFilter::All).build_arc()
}

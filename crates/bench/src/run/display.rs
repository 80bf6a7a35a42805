//! Shows the progress of a load on a terminal.

use crate::load::generator::Running;
use indicatif::{ProgressBar, ProgressStyle};
use std::time::Duration;

const REFRESH: Duration = Duration::from_millis(50);

/// Shows the progress of a load of length `run` until all requests have ended.
///
/// Calls `on_refresh` every 50 ms.
///
/// # Errors
///
/// Fails when `on_refresh` fails.
pub fn follow(
    running: &Running,
    run: Duration,
    mut on_refresh: impl FnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let bar = ProgressBar::new(run.as_millis() as u64);
    let style = ProgressStyle::with_template("{elapsed:>4} {bar:30} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    while !running.is_finished() {
        let elapsed = running.start.elapsed().min(run);
        bar.set_position(elapsed.as_millis() as u64);
        bar.set_message(running.progress.line());
        on_refresh()?;
        std::thread::sleep(REFRESH);
    }
    bar.finish_and_clear();
    Ok(())
}

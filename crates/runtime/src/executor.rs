//! The single-threaded runtime of a process.

use std::future::Future;
use std::time::Duration;

/// How long tasks go on after the end of the program.
const SETTLE: Duration = Duration::from_millis(5);

/// The result of starting a runtime.
pub type Result<T> = std::io::Result<T>;

/// Runs `main` to its end on a runtime of this thread that uses `epoll`, never io_uring.
///
/// # Errors
///
/// Fails when the system gives no epoll descriptor.
pub fn run<F: Future>(main: F) -> Result<F::Output> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    let output = runtime.block_on(main);
    // Tasks that are ready get a moment to close what they hold.
    runtime.block_on(async { monoio::time::sleep(SETTLE).await });
    // A task that is dropped with the runtime may wake another one outside of it, which panics.
    // The system takes back what the tasks hold when the process ends.
    std::mem::forget(runtime);
    Ok(output)
}

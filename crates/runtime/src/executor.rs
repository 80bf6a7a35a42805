//! The single-threaded runtime of a process.

use std::future::Future;

/// The result of starting a runtime.
pub type Result<T> = std::io::Result<T>;

/// Runs `main` to completion on a runtime of the current thread that uses `epoll`, never io_uring.
///
/// Tasks that remain afterwards never run again; the system closes their descriptors when the
/// process ends.
///
/// # Errors
///
/// Fails if the system cannot create an epoll descriptor.
pub fn run<F: Future>(main: F) -> Result<F::Output> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    let output = runtime.block_on(main);
    // Never drops the runtime: dropping a task can wake another one, which panics once the
    // runtime is gone.
    std::mem::forget(runtime);
    Ok(output)
}

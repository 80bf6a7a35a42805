//! The single-threaded runtime of a process.

use std::future::Future;

/// The result of starting a runtime.
pub type Result<T> = std::io::Result<T>;

/// Runs `main` to its end on a runtime of this thread that uses `epoll`, never io_uring.
///
/// Tasks that are left then never run again; the system closes their descriptors with the
/// process.
///
/// # Errors
///
/// Fails when the system gives no epoll descriptor.
pub fn run<F: Future>(main: F) -> Result<F::Output> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    let output = runtime.block_on(main);
    // Tasks that are dropped wake others, which panics once the runtime is gone.
    std::mem::forget(runtime);
    Ok(output)
}

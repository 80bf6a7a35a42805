//! File descriptors of a thread that plays a process.
//!
//! A process that is killed loses all its connections at once. A runtime that is dropped may keep
//! some, since tasks can hold each other. A thread with a table of its own loses them with it.

use rustix::thread::{UnshareFlags, unshare_unsafe};
use std::os::fd::RawFd;

const DIRECTORY: &str = "/proc/thread-self/fd";
const STANDARD_STREAMS: RawFd = 3;

/// Gives this thread a table of descriptors of its own, with only the standard streams open.
///
/// # Errors
///
/// Fails when the system refuses the table or does not list it.
#[allow(unsafe_code)]
pub(super) fn separate() -> std::io::Result<()> {
    // SAFETY: the thread has just started and owns no descriptor.
    unsafe { unshare_unsafe(UnshareFlags::FILES) }?;
    close()
}

/// Closes every descriptor of this thread's own table but the standard streams.
///
/// The system does so at the end of the thread, but possibly after the thread was joined.
///
/// # Errors
///
/// Fails when the system does not list the table.
#[allow(unsafe_code)]
pub(super) fn close() -> std::io::Result<()> {
    for descriptor in open()? {
        // SAFETY: called at the start and at the end of a thread with a table of its own, when
        // nothing on it uses a descriptor; other threads keep theirs.
        unsafe { rustix::io::close(descriptor) };
    }
    Ok(())
}

fn open() -> std::io::Result<Vec<RawFd>> {
    let mut descriptors = Vec::new();
    for entry in std::fs::read_dir(DIRECTORY)? {
        let name = entry?.file_name();
        let number: Option<RawFd> = name.to_str().and_then(|name| name.parse().ok());
        descriptors.extend(number.filter(|number| *number >= STANDARD_STREAMS));
    }
    // The directory itself was open while it was read.
    descriptors.retain(|descriptor| is_open(*descriptor));
    Ok(descriptors)
}

fn is_open(descriptor: RawFd) -> bool {
    std::fs::symlink_metadata(format!("{DIRECTORY}/{descriptor}")).is_ok()
}

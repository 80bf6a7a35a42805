//! File descriptors of a thread that stands for a process.
//!
//! A killed process loses all its connections at once. A dropped runtime may keep some of them
//! open, since its tasks can hold references to each other. A thread with its own descriptor table
//! closes all of them.

use rustix::thread::{UnshareFlags, unshare_unsafe};
use std::os::fd::RawFd;

const DIRECTORY: &str = "/proc/thread-self/fd";
const STANDARD_STREAMS: RawFd = 3;

/// Gives this thread its own descriptor table, with only the standard streams open.
///
/// # Errors
///
/// Fails when the system cannot unshare the table or list its descriptors.
#[allow(unsafe_code)]
pub(super) fn unshare_table() -> std::io::Result<()> {
    // SAFETY: the thread has just started and owns no descriptor.
    unsafe { unshare_unsafe(UnshareFlags::FILES) }?;
    close_all()
}

/// Closes every descriptor in this thread's own table except the standard streams.
///
/// The system also closes them when the thread ends, but possibly only after the join.
///
/// # Errors
///
/// Fails when the system cannot list the descriptors.
#[allow(unsafe_code)]
pub(super) fn close_all() -> std::io::Result<()> {
    for descriptor in list_open()? {
        // SAFETY: called at the start and at the end of a thread with its own table, when nothing
        // on the thread uses a descriptor; the tables of other threads are not affected.
        unsafe { rustix::io::close(descriptor) };
    }
    Ok(())
}

fn list_open() -> std::io::Result<Vec<RawFd>> {
    let mut descriptors = Vec::new();
    for entry in std::fs::read_dir(DIRECTORY)? {
        let name = entry?.file_name();
        let number: Option<RawFd> = name.to_str().and_then(|name| name.parse().ok());
        descriptors.extend(number.filter(|number| *number >= STANDARD_STREAMS));
    }
    // The list contains the descriptor of the directory itself, which is closed by now.
    descriptors.retain(|descriptor| is_open(*descriptor));
    Ok(descriptors)
}

fn is_open(descriptor: RawFd) -> bool {
    std::fs::symlink_metadata(format!("{DIRECTORY}/{descriptor}")).is_ok()
}

//! Resource use of threads and of the process, from `/proc`.

use anyhow::Context;
use std::fs;
use std::time::Duration;

const LOOPBACK: &str = "lo:";

/// Total processor time of all live threads whose names start with `prefix`.
///
/// # Errors
///
/// Fails when the threads cannot be listed.
pub fn processor_time(prefix: &str) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end between the listing and the read.
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        if !name.starts_with(prefix) {
            continue;
        }
        let Ok(times) = fs::read_to_string(path.join("schedstat")) else { continue };
        let nanos = times.split_whitespace().next().and_then(|nanos| nanos.parse().ok());
        total += Duration::from_nanos(nanos.unwrap_or_default());
    }
    Ok(total)
}

/// Resident memory of the process, bytes.
///
/// # Errors
///
/// Fails when the value cannot be read.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix("kB"));
    let kibibytes: u64 = kibibytes.context("no VmRSS in /proc/self/status")?.trim().parse()?;
    Ok(kibibytes * 1024)
}

/// Bytes received over the loopback device, including protocol headers.
///
/// # Errors
///
/// Fails when the value cannot be read.
pub fn loopback_bytes() -> anyhow::Result<u64> {
    let devices = fs::read_to_string("/proc/self/net/dev")?;
    let line = devices.lines().find_map(|line| line.trim().strip_prefix(LOOPBACK));
    let received = line.and_then(|line| line.split_whitespace().next());
    Ok(received.context("no loopback device in /proc/self/net/dev")?.parse()?)
}

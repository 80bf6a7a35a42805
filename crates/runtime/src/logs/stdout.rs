//! Writes log lines to standard output without blocking.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Write};

/// Standard output; drops lines that the reader is too slow for.
///
/// A pipe that is ready for writing accepts a line of up to 4 KiB at once, so a write never blocks.
#[derive(Debug, Default)]
pub struct Stdout {
    dropped: u64,
}

impl Write for Stdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stdout = io::stdout();
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut ready = [PollFd::new(&stdout, PollFlags::OUT)];
        if !matches!(poll(&mut ready, Some(&no_wait)), Ok(1..)) {
            self.dropped += 1;
            return Ok(line.len());
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let notice = format!("{{\"message\":\"lines left out\",\"count\":{dropped}}}\n");
            rustix::io::write(&stdout, notice.as_bytes())?;
        }
        // One system call per line, because buffered lines are lost if the process is killed.
        Ok(rustix::io::write(&stdout, line)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Write};

/// The standard output, written to only while its reader keeps up.
///
/// A pipe that is ready takes one line of up to 4 KiB at once, so a write never waits.
#[derive(Debug, Default)]
pub struct Stdout {
    left_out: u64,
}

impl Write for Stdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stdout = io::stdout();
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut ready = [PollFd::new(&stdout, PollFlags::OUT)];
        if !matches!(poll(&mut ready, Some(&now)), Ok(1..)) {
            self.left_out += 1;
            return Ok(line.len());
        }
        if self.left_out > 0 {
            let left_out = std::mem::take(&mut self.left_out);
            let note = format!("{{\"message\":\"lines left out\",\"count\":{left_out}}}\n");
            rustix::io::write(&stdout, note.as_bytes())?;
        }
        // One call a line: buffered lines would be lost when the process is killed.
        Ok(rustix::io::write(&stdout, line)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

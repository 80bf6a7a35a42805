//! Clients that send large bodies and stop just short of their end.

use std::fmt::Write as _;
use std::io::{self, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::time::Duration;

/// Time for one write; a connection that the process does not read or has closed stays as it is.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Time for one answer to an ordinary request; only ends a test that hangs.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// How the bodies are framed.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// By their length.
    Length,
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// Clients that each send a request up to the last byte of its body, and stay connected.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Address of the process.
    pub address: SocketAddr,
    /// Request line and headers but for those on the body.
    pub head: String,
    /// Number of connections.
    pub connections: usize,
    /// Size of each body, bytes.
    pub body: usize,
    /// How the bodies are framed.
    pub framing: Framing,
    /// Number of pieces in which all connections send by turns.
    pub pieces: usize,
}

impl Crowd {
    /// Connects and sends. Returns the open connections.
    ///
    /// # Errors
    ///
    /// Fails if a connection cannot be made.
    pub fn gather(&self) -> io::Result<Vec<TcpStream>> {
        let connect = |_| -> io::Result<TcpStream> {
            let stream = TcpStream::connect(self.address)?;
            stream.set_write_timeout(Some(WRITE_LIMIT))?;
            Ok(stream)
        };
        let streams: Vec<TcpStream> =
            (0..self.connections).map(connect).collect::<Result<_, _>>()?;
        let message = self.message();
        for piece in message.chunks(message.len().div_ceil(self.pieces)) {
            for mut stream in &streams {
                // The process may close any of these connections.
                let _ = stream.write_all(piece);
            }
        }
        Ok(streams)
    }

    /// Returns the request without the last byte of its body.
    fn message(&self) -> Vec<u8> {
        let mut text = self.head.clone();
        match self.framing {
            Framing::Length => {
                let _ = write!(text, "content-length: {}\r\n\r\n", self.body);
                text.push_str(&"x".repeat(self.body - 1));
            }
            Framing::Chunks(size) => {
                text.push_str("transfer-encoding: chunked\r\n\r\n");
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                text.push_str(&chunk.repeat(self.body / size));
                // The last byte of the last chunk and the end of its line.
                text.truncate(text.len() - 3);
            }
        }
        text.into_bytes()
    }
}

/// Sends a request on a new connection and returns the status of the answer.
///
/// # Errors
///
/// Fails if there is no complete answer.
pub fn status(address: SocketAddr, request: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.ok_or_else(|| io::Error::other(format!("no answer: {text}")))
}

/// Returns a free address of this host.
///
/// # Errors
///
/// Fails if there is no free port.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A process that is watched beside a crowd. Dropping it kills the process.
pub struct Process(Child);

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be run.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        command.spawn().map(Self)
    }

    /// Returns the highest memory use so far, bytes, and the number of open descriptors.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn usage(&mut self) -> io::Result<(u64, usize)> {
        if let Some(status) = self.0.try_wait()? {
            return Err(io::Error::other(format!("the process has ended: {status}")));
        }
        let folder = format!("/proc/{}", self.0.id());
        let text = std::fs::read_to_string(format!("{folder}/status"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes =
            line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        let peak = kilobytes.ok_or_else(|| io::Error::other("no peak"))? * 1024;
        Ok((peak, std::fs::read_dir(format!("{folder}/fd"))?.count()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

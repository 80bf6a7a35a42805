//! HTTP/1.1 servers that can be closed like a process that ends, and one-shot client calls.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
    pub fn argument(&self, name: &str) -> String {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

/// An answer; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// A running server; [`Server::close`] ends it and resets what is open.
pub struct Server {
    open: Arc<AtomicBool>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = bind(address)?;
        listener.set_nonblocking(true)?;
        let open = Arc::new(AtomicBool::new(true));
        let alive = open.clone();
        thread::spawn(move || {
            while alive.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (handler, alive) = (handler.clone(), alive.clone());
                        thread::spawn(move || serve(stream, handler, alive));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Server { open })
    }
    pub fn close(&self) {
        self.open.store(false, Ordering::Relaxed);
    }
}

/// Binds; an address whose former server has just closed may take a moment.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        match TcpListener::bind(address) {
            Err(_) if Instant::now() < until => thread::sleep(Duration::from_millis(5)),
            other => return other,
        }
    }
}

fn serve(stream: TcpStream, handler: Handler, alive: Arc<AtomicBool>) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut stream = stream;
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer, &alive) else { return };
        let Some((status, body)) = handler(&request) else { return };
        if !alive.load(Ordering::Relaxed) {
            return;
        }
        let text = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>, alive: &AtomicBool) -> Option<Request> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if !alive.load(Ordering::Relaxed) {
            return None;
        }
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers
                .iter()
                .find(|(key, _)| key == "content-length")
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0);
            let whole = end + 4 + length;
            if buffer.len() >= whole {
                let body = String::from_utf8_lossy(&buffer[end + 4..whole]).into_owned();
                buffer.drain(..whole);
                let (path, query) = target.split_once('?').unwrap_or((&target, ""));
                let query = query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .map(|(key, value)| (key.to_owned(), unescape(value)))
                    .collect();
                return Some(Request { method, path: path.to_owned(), query, headers, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return None,
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own; `None` without a whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Shallotflow-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let left = until.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        if let Some(end) = find(&buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
            let length: usize = head
                .split("\r\n")
                .filter_map(|line| line.split_once(':'))
                .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                return Some((status, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

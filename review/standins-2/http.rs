//! HTTP/1.1 on blocking sockets: a server that can close its port, and single requests.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// A status and a body; no answer, but the end of the connection, if it is `None`.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server; dropping or closing it closes its port and all connections.
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (is_closed, all) = (closed.clone(), streams.clone());
        std::thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            all.lock().unwrap().push(clone);
                        }
                        let (handler, is_closed) = (handler.clone(), is_closed.clone());
                        std::thread::spawn(move || {
                            let _ = serve(stream, &handler, &is_closed);
                        });
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { closed, streams })
    }

    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // The listener closes within a few milliseconds.
        std::thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

fn serve(stream: TcpStream, handler: &Handler, closed: &AtomicBool) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while !closed.load(Ordering::SeqCst) {
        let Some((line, headers, body)) = read_message(&mut reader)? else { return Ok(()) };
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
        let close = headers.get("connection").is_some_and(|value| value == "close");
        let request = Request { method, path: path.to_owned(), query, headers, body };
        let answer = handler(request);
        if closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let Some((status, body)) = answer else {
            return writer.shutdown(Shutdown::Both);
        };
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        writer.write_all((head + &body).as_bytes())?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

type Message = (String, HashMap<String, String>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Sends one request on a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    (&stream).write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader)?;
    let (line, _, body) = message.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or(Error::from(ErrorKind::InvalidData))?, body))
}

//! Writes heads and bodies to one connection.
//!
//! The encoder of `monoio-http` buffers small chunks until the end of a body. Watchers need each
//! piece immediately, so this module encodes heads and chunks itself and flushes after each piece.

use super::body::Body;
use super::{Error, Result};
use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, request, response};
use monoio::buf::IoBuf;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use std::io::Write;
use std::time::Duration;

/// Pieces up to this size are buffered and written together with the bytes around them.
const SMALL_BODY_BYTES: u64 = 32 * 1024;
/// Maximum size of one write, which the peer must accept within the stall timeout.
const WRITE_BYTES: usize = 64 * 1024;

/// The write half of a connection.
pub(super) struct Writer {
    io: OwnedWriteHalf<TcpStream>,
    buffer: BytesMut,
    stall: Duration,
}

impl Writer {
    /// Creates a writer that fails if a write takes longer than `stall`.
    pub(super) fn new(io: OwnedWriteHalf<TcpStream>, stall: Duration) -> Self {
        Self { io, buffer: BytesMut::new(), stall }
    }

    /// Writes a whole request.
    pub(super) async fn request(&mut self, head: &request::Parts, body: &mut Body) -> Result<()> {
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        self.buffer.put_slice(head.method.as_str().as_bytes());
        self.buffer.put_u8(b' ');
        self.buffer.put_slice(target.as_bytes());
        self.buffer.put_slice(b" HTTP/1.1\r\n");
        let force_length = !matches!(body, Body::Empty);
        self.message(&head.headers, body, force_length, false, false).await
    }

    /// Writes a whole response, without the body if `skip_body` is set.
    pub(super) async fn response(
        &mut self,
        head: &response::Parts,
        body: &mut Body,
        skip_body: bool,
        close: bool,
    ) -> Result<()> {
        let reason = head.status.canonical_reason().unwrap_or("");
        write!((&mut self.buffer).writer(), "HTTP/1.1 {} {reason}\r\n", head.status.as_str())?;
        self.message(&head.headers, body, true, close, skip_body).await
    }

    /// Writes the interim response `100 Continue`.
    pub(super) async fn write_continue(&mut self) -> Result<()> {
        self.buffer.put_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    async fn message(
        &mut self,
        headers: &HeaderMap,
        body: &mut Body,
        force_length: bool,
        close: bool,
        skip_body: bool,
    ) -> Result<()> {
        let length = body.length();
        self.headers(headers, close)?;
        match length {
            Some(0) if !force_length => {}
            Some(length) => {
                write!((&mut self.buffer).writer(), "content-length: {length}\r\n")?;
            }
            None => self.buffer.put_slice(b"transfer-encoding: chunked\r\n"),
        }
        self.buffer.put_slice(b"\r\n");
        if skip_body {
            return self.flush().await;
        }
        match length {
            Some(length) => self.sized(body, length).await,
            None => self.chunked(body).await,
        }
    }

    fn headers(&mut self, headers: &HeaderMap, close: bool) -> Result<()> {
        for (name, value) in headers {
            if name == CONTENT_LENGTH || name == TRANSFER_ENCODING || name == CONNECTION {
                continue;
            }
            self.buffer.put_slice(name.as_str().as_bytes());
            self.buffer.put_slice(b": ");
            self.buffer.put_slice(value.as_bytes());
            self.buffer.put_slice(b"\r\n");
        }
        if close {
            self.buffer.put_slice(b"connection: close\r\n");
        }
        Ok(())
    }

    async fn sized(&mut self, body: &mut Body, length: u64) -> Result<()> {
        if length > SMALL_BODY_BYTES {
            self.flush().await?;
        }
        let mut remaining = length;
        while remaining > 0 {
            let Some(piece) = body.next().await else { return Err(Error::Truncated) };
            let piece = piece?;
            remaining = remaining.saturating_sub(piece.len() as u64);
            self.piece(piece).await?;
        }
        self.flush().await
    }

    async fn chunked(&mut self, body: &mut Body) -> Result<()> {
        self.flush().await?;
        while let Some(piece) = body.next().await {
            let piece = piece?;
            if piece.is_empty() {
                continue;
            }
            write!((&mut self.buffer).writer(), "{:x}\r\n", piece.len())?;
            self.piece(piece).await?;
            self.buffer.put_slice(b"\r\n");
            self.flush().await?;
        }
        self.buffer.put_slice(b"0\r\n\r\n");
        self.flush().await
    }

    async fn piece(&mut self, mut piece: Bytes) -> Result<()> {
        if piece.len() as u64 <= SMALL_BODY_BYTES {
            self.buffer.put_slice(&piece);
            return Ok(());
        }
        self.flush().await?;
        while !piece.is_empty() {
            let block = piece.split_to(piece.len().min(WRITE_BYTES));
            self.write(block).await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let buffer = std::mem::take(&mut self.buffer);
        self.buffer = self.write(buffer).await?;
        self.buffer.clear();
        Ok(())
    }

    async fn write<T: IoBuf + 'static>(&mut self, bytes: T) -> Result<T> {
        let written = timeout(self.stall, self.io.write_all(bytes)).await;
        let (result, bytes) = written.map_err(|_| Error::Slow)?;
        result?;
        Ok(bytes)
    }

    /// Closes the write direction.
    pub(super) async fn close(&mut self) {
        // Ignored: the peer may already have closed the connection.
        let _ = self.io.shutdown().await;
    }
}

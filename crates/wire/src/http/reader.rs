//! Reads heads and bodies from one connection.

use super::limits::Limits;
use super::{Error, Result};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, DecodeError};
use std::rc::Rc;
use std::time::Duration;

/// Size of reads for heads; most heads fit, and a connection that waits for a message keeps only
/// this much memory.
const HEAD_READ_BYTES: usize = 2 * 1024;
/// Size of reads for bodies.
const BODY_READ_BYTES: usize = 16 * 1024;
const MAX_CHUNK_BYTES: usize = 1024 * 1024;

/// The read half of a connection, with the bytes that were read ahead.
pub(super) struct Reader {
    io: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    scratch: Vec<u8>,
    limits: Rc<Limits>,
}

/// How the end of a body is determined.
pub(super) enum Framing {
    /// The body has this many remaining bytes.
    Length(u64),
    /// The body is chunked; the number counts the body bytes read so far.
    Chunked(ChunkedBodyDecoder, u64),
    /// The body ends when the peer closes; the number counts the bytes read so far.
    UntilClose(u64),
}

impl Reader {
    pub(super) fn new(io: OwnedReadHalf<TcpStream>, limits: Rc<Limits>) -> Self {
        Self { io, buffer: BytesMut::new(), scratch: Vec::new(), limits }
    }

    /// Whether bytes were received that belong to no message read so far.
    pub(super) fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the connection is open and nothing has arrived; does not wait.
    pub(super) fn is_idle(&mut self) -> bool {
        self.buffer.is_empty() && self.io.read(vec![0; 1]).now_or_never().is_none()
    }

    /// Waits for the first byte of a message; returns `false` if the peer closed the connection.
    pub(super) async fn wait_first_byte(&mut self) -> Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.scratch.truncate(HEAD_READ_BYTES);
        self.scratch.shrink_to_fit();
        Ok(self.fill(HEAD_READ_BYTES).await? > 0)
    }

    /// Reads a whole head within `limit`; its first byte has already arrived.
    pub(super) async fn head<D>(&mut self, decoder: D, limit: Duration) -> Result<D::Item>
    where
        D: Decoder<Error = DecodeError>,
    {
        timeout(limit, self.head_without_timeout(decoder)).await.map_err(|_| Error::Slow)?
    }

    async fn head_without_timeout<D>(&mut self, mut decoder: D) -> Result<D::Item>
    where
        D: Decoder<Error = DecodeError>,
    {
        loop {
            let buffered = self.buffer.len();
            let decoded = decoder.decode(&mut self.buffer)?;
            let limit = self.limits.head_bytes;
            match decoded {
                Decoded::Some(_) if buffered - self.buffer.len() > limit => {
                    return Err(Error::HeadTooLarge(limit));
                }
                Decoded::Some(head) => return Ok(head),
                _ if buffered > limit => return Err(Error::HeadTooLarge(limit)),
                _ => {}
            }
            if self.fill(HEAD_READ_BYTES).await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    /// Reads the next piece of a body; `None` at its end.
    pub(super) async fn body(&mut self, framing: &mut Framing) -> Result<Option<Bytes>> {
        match framing {
            Framing::Length(remaining) => self.sized(remaining).await,
            Framing::Chunked(decoder, received) => self.chunked(decoder, received).await,
            Framing::UntilClose(received) => self.until_close(received).await,
        }
    }

    async fn sized(&mut self, remaining: &mut u64) -> Result<Option<Bytes>> {
        if *remaining == 0 {
            return Ok(None);
        }
        if self.buffer.is_empty() && self.fill_with_timeout().await? == 0 {
            return Err(Error::Truncated);
        }
        let size = usize::try_from(*remaining).unwrap_or(usize::MAX).min(self.buffer.len());
        *remaining -= size as u64;
        Ok(Some(self.buffer.split_to(size).freeze()))
    }

    async fn chunked(
        &mut self,
        decoder: &mut ChunkedBodyDecoder,
        received: &mut u64,
    ) -> Result<Option<Bytes>> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Some(None) => return Ok(None),
                Decoded::Some(Some(bytes)) => {
                    self.count_body_bytes(received, bytes.len())?;
                    return Ok(Some(bytes));
                }
                _ => {}
            }
            if self.buffer.len() > MAX_CHUNK_BYTES {
                return Err(Error::BodyTooLarge(MAX_CHUNK_BYTES as u64));
            }
            if self.fill_with_timeout().await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    async fn until_close(&mut self, received: &mut u64) -> Result<Option<Bytes>> {
        if self.buffer.is_empty() && self.fill_with_timeout().await? == 0 {
            return Ok(None);
        }
        let bytes = self.buffer.split().freeze();
        self.count_body_bytes(received, bytes.len())?;
        Ok(Some(bytes))
    }

    fn count_body_bytes(&self, received: &mut u64, length: usize) -> Result<()> {
        *received += length as u64;
        if *received > self.limits.body_bytes {
            return Err(Error::BodyTooLarge(self.limits.body_bytes));
        }
        Ok(())
    }

    async fn fill_with_timeout(&mut self) -> Result<usize> {
        let limit = self.limits.stall;
        timeout(limit, self.fill(BODY_READ_BYTES)).await.map_err(|_| Error::Slow)?
    }

    /// Reads once, up to `size` bytes or the larger size of an earlier read.
    async fn fill(&mut self, size: usize) -> Result<usize> {
        // A cancelled read drops the buffer that it took, so the length may be zero here.
        let mut scratch = std::mem::take(&mut self.scratch);
        if scratch.len() < size {
            scratch.resize(size, 0);
        }
        let (result, scratch) = self.io.read(scratch).await;
        self.scratch = scratch;
        let count = result?;
        self.buffer.extend_from_slice(&self.scratch[..count]);
        Ok(count)
    }
}

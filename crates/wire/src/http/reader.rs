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

/// The buffer of a connection that waits for a message; most heads fit in it.
const HEAD_READ_BYTES: usize = 2 * 1024;
/// The buffer of a connection whose body is being received.
const BODY_READ_BYTES: usize = 16 * 1024;
const MAX_CHUNK_BYTES: usize = 1024 * 1024;

/// The reading half of a connection with what was read ahead.
pub(super) struct Reader {
    io: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    scratch: Vec<u8>,
    limits: Rc<Limits>,
}

/// How the end of a body is found.
pub(super) enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// Chunks follow, so many body bytes have been read.
    Chunked(ChunkedBodyDecoder, u64),
    /// The body ends with the connection.
    UntilClose(u64),
}

impl Reader {
    pub(super) fn new(io: OwnedReadHalf<TcpStream>, limits: Rc<Limits>) -> Self {
        Self { io, buffer: BytesMut::new(), scratch: Vec::new(), limits }
    }

    /// Whether bytes were read ahead of the message that was asked for.
    pub(super) fn has_leftover(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether nothing has arrived and the peer has not closed, without waiting.
    pub(super) fn is_quiet(&mut self) -> bool {
        self.buffer.is_empty() && self.io.read(vec![0; 1]).now_or_never().is_none()
    }

    /// Waits for the first byte of a message; `false` when the peer closed instead.
    pub(super) async fn wait_first_byte(&mut self) -> Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.scratch.truncate(HEAD_READ_BYTES);
        self.scratch.shrink_to_fit();
        Ok(self.fill(HEAD_READ_BYTES).await? > 0)
    }

    /// Reads a whole head; its first byte has arrived.
    pub(super) async fn head<D>(&mut self, decoder: D, limit: Duration) -> Result<D::Item>
    where
        D: Decoder<Error = DecodeError>,
    {
        timeout(limit, self.head_unlimited(decoder)).await.map_err(|_| Error::Slow)?
    }

    async fn head_unlimited<D>(&mut self, mut decoder: D) -> Result<D::Item>
    where
        D: Decoder<Error = DecodeError>,
    {
        loop {
            let held = self.buffer.len();
            let decoded = decoder.decode(&mut self.buffer)?;
            let limit = self.limits.head_bytes;
            match decoded {
                Decoded::Some(_) if held - self.buffer.len() > limit => {
                    return Err(Error::HeadTooLarge(limit));
                }
                Decoded::Some(head) => return Ok(head),
                _ if held > limit => return Err(Error::HeadTooLarge(limit)),
                _ => {}
            }
            if self.fill(HEAD_READ_BYTES).await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    /// The next piece of a body, `None` at its end.
    pub(super) async fn body(&mut self, framing: &mut Framing) -> Result<Option<Bytes>> {
        match framing {
            Framing::Length(left) => self.sized(left).await,
            Framing::Chunked(decoder, seen) => self.chunked(decoder, seen).await,
            Framing::UntilClose(seen) => self.until_close(seen).await,
        }
    }

    async fn sized(&mut self, left: &mut u64) -> Result<Option<Bytes>> {
        if *left == 0 {
            return Ok(None);
        }
        if self.buffer.is_empty() && self.fill_in_time().await? == 0 {
            return Err(Error::Truncated);
        }
        let take = usize::try_from(*left).unwrap_or(usize::MAX).min(self.buffer.len());
        *left -= take as u64;
        Ok(Some(self.buffer.split_to(take).freeze()))
    }

    async fn chunked(
        &mut self,
        decoder: &mut ChunkedBodyDecoder,
        seen: &mut u64,
    ) -> Result<Option<Bytes>> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Some(None) => return Ok(None),
                Decoded::Some(Some(bytes)) => {
                    self.count(seen, bytes.len())?;
                    return Ok(Some(bytes));
                }
                _ => {}
            }
            if self.buffer.len() > MAX_CHUNK_BYTES {
                return Err(Error::BodyTooLarge(MAX_CHUNK_BYTES as u64));
            }
            if self.fill_in_time().await? == 0 {
                return Err(Error::Truncated);
            }
        }
    }

    async fn until_close(&mut self, seen: &mut u64) -> Result<Option<Bytes>> {
        if self.buffer.is_empty() && self.fill_in_time().await? == 0 {
            return Ok(None);
        }
        let bytes = self.buffer.split().freeze();
        self.count(seen, bytes.len())?;
        Ok(Some(bytes))
    }

    fn count(&self, seen: &mut u64, length: usize) -> Result<()> {
        *seen += length as u64;
        if *seen > self.limits.body_bytes {
            return Err(Error::BodyTooLarge(self.limits.body_bytes));
        }
        Ok(())
    }

    async fn fill_in_time(&mut self) -> Result<usize> {
        let limit = self.limits.stall;
        timeout(limit, self.fill(BODY_READ_BYTES)).await.map_err(|_| Error::Slow)?
    }

    /// Reads once, at most `size` bytes or as many as an earlier read asked for.
    async fn fill(&mut self, size: usize) -> Result<usize> {
        // A read that was given up took the buffer with it.
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

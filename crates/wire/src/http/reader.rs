//! Reads heads and bodies from one connection.

use super::account::{Account, Phase};
use super::chunks::{Chunks, Decoded as Chunk};
use super::limits::Limits;
use super::{Error, Result};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Size of reads for heads; most heads fit, and a connection that waits for a message keeps only
/// this much memory.
const HEAD_READ_BYTES: usize = 2 * 1024;
/// Size of reads for bodies.
const BODY_READ_BYTES: usize = 16 * 1024;
/// Cost after which a connection of a caller lets the others go first, whatever has arrived on it: that of as
/// many bytes of a body with a known length.
const TURN_COST: usize = 64 * 1024;
/// Cost of a byte of a chunked body, which may be a chunk of its own.
const CHUNKED_COST: usize = 8;

/// The read half of a connection, with the bytes that were read ahead.
pub(super) struct Reader {
    io: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    scratch: Vec<u8>,
    limits: Rc<Limits>,
    /// What a connection of a caller holds; others hold answers to calls of this process.
    account: Option<Account>,
    /// Bytes of the body that its consumer has collected.
    collected: usize,
    /// When the body has to have ended.
    body_deadline: Option<Instant>,
    /// Cost of what was read since other connections had their turn.
    turn: usize,
}

/// How the end of a body is determined.
pub(super) enum Framing {
    /// The body has this many remaining bytes.
    Length(u64),
    /// The body is chunked.
    Chunked(Chunks),
    /// The body ends when the peer closes; the number counts the bytes read so far.
    UntilClose(u64),
}

impl Reader {
    pub(super) fn new(io: OwnedReadHalf<TcpStream>, limits: Rc<Limits>) -> Self {
        Self {
            io,
            buffer: BytesMut::new(),
            scratch: Vec::new(),
            limits,
            account: None,
            collected: 0,
            body_deadline: None,
            turn: 0,
        }
    }

    /// Charges what the connection holds to `account`.
    pub(super) fn with_account(self, account: Account) -> Self {
        Self { account: Some(account), ..self }
    }

    /// Sets the time in which the body has to arrive.
    pub(super) fn begin_body(&mut self) {
        self.body_deadline = Instant::now().checked_add(self.limits.body);
    }

    /// Notes that the request has arrived whole.
    pub(super) fn finish_message(&mut self) {
        self.body_deadline = None;
        self.set_phase(Phase::Answering);
    }

    /// Charges the bytes that the consumer of the body keeps until the request is answered.
    pub(super) fn set_collected(&mut self, bytes: usize) {
        if self.collected != bytes {
            self.collected = bytes;
            self.charge();
        }
    }

    /// Notes that the request is answered.
    pub(super) fn release(&mut self) {
        self.collected = 0;
        self.charge();
    }

    fn set_phase(&self, phase: Phase) {
        if let Some(account) = &self.account {
            account.set_phase(phase);
        }
    }

    fn charge(&self) {
        if let Some(account) = &self.account {
            account.charge(self.scratch.len() + self.buffer.capacity() + self.collected);
        }
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
        self.wait_turn().await;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.set_phase(Phase::Idle(Instant::now()));
            if self.fill(HEAD_READ_BYTES).await? == 0 {
                return Ok(false);
            }
        }
        self.set_phase(Phase::Receiving(Instant::now()));
        Ok(true)
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
        // The rest of the body may be buffered: a request whose connection closes must not be carried out.
        self.stay_open().await;
        match framing {
            Framing::Length(remaining) => self.sized(remaining).await,
            Framing::Chunked(chunks) => self.chunked(chunks).await,
            Framing::UntilClose(received) => self.until_close(received).await,
        }
    }

    async fn sized(&mut self, remaining: &mut u64) -> Result<Option<Bytes>> {
        if *remaining == 0 {
            return Ok(None);
        }
        let wanted = usize::try_from(*remaining).unwrap_or(usize::MAX);
        if self.buffer.is_empty() && self.fill_with_timeout(wanted).await? == 0 {
            return Err(Error::Truncated);
        }
        let size = usize::try_from(*remaining).unwrap_or(usize::MAX).min(self.buffer.len());
        *remaining -= size as u64;
        Ok(Some(self.buffer.split_to(size).freeze()))
    }

    async fn chunked(&mut self, chunks: &mut Chunks) -> Result<Option<Bytes>> {
        loop {
            match chunks.decode(&mut self.buffer)? {
                Chunk::Piece(bytes) => return Ok(Some(bytes)),
                Chunk::End => return Ok(None),
                Chunk::Partial => {}
            }
            let read = self.fill_with_timeout(chunks.wanted()).await?;
            if read == 0 {
                return Err(Error::Truncated);
            }
            self.turn += (CHUNKED_COST - 1) * read;
        }
    }

    async fn until_close(&mut self, received: &mut u64) -> Result<Option<Bytes>> {
        if self.buffer.is_empty() && self.fill_with_timeout(BODY_READ_BYTES).await? == 0 {
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

    /// Never returns if the connection has to close: it does so at once, without an answer that could be taken
    /// for a refusal.
    async fn stay_open(&self) {
        if self.account.as_ref().is_some_and(Account::is_evicted) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for the next turn of a connection that has used its own. No time limit of the peer includes this.
    async fn wait_turn(&mut self) {
        if let Some(account) = self.account.as_ref().filter(|_| self.turn >= TURN_COST) {
            account.wait_turn().await;
            self.turn = 0;
        }
    }

    /// Reads up to `wanted` bytes of a body.
    async fn fill_with_timeout(&mut self, wanted: usize) -> Result<usize> {
        self.wait_turn().await;
        let now = Instant::now();
        let left = self.body_deadline.map(|deadline| deadline.saturating_duration_since(now));
        let limit = left.map_or(self.limits.stall, |left| left.min(self.limits.stall));
        let size = wanted.min(BODY_READ_BYTES);
        timeout(limit, self.fill(size)).await.map_err(|_| Error::Slow)?
    }

    /// Reads once, up to `size` bytes.
    async fn fill(&mut self, size: usize) -> Result<usize> {
        // A cancelled read drops the buffer that it took, so the length may be zero here.
        let mut scratch = std::mem::take(&mut self.scratch);
        if scratch.len() > size {
            scratch = Vec::new();
        }
        scratch.resize(size, 0);
        self.scratch = scratch;
        self.charge();
        let (result, scratch) = self.io.read(std::mem::take(&mut self.scratch)).await;
        self.scratch = scratch;
        let count = result?;
        self.turn += count;
        self.buffer.extend_from_slice(&self.scratch[..count]);
        self.charge();
        self.stay_open().await;
        Ok(count)
    }
}

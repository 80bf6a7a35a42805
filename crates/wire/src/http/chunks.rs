//! Decodes bodies that are sent in chunks.

use super::{Error, Result};
use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of a line with the size of a chunk, and of all trailers, bytes.
const MAX_LINE_BYTES: usize = 1024;
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Small chunks are joined to pieces of about this size, bytes.
const PIECE_BYTES: usize = 16 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Size,
    /// Bytes of the chunk that have not been decoded.
    Data(u64),
    DataEnd,
    /// Bytes of trailers so far.
    Trailers(usize),
    End,
}

/// What has been decoded.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A piece of the body.
    Piece(Bytes),
    /// More bytes are needed.
    Partial,
    /// The body has ended.
    End,
}

/// Decodes a chunked body piece by piece, without waiting for whole chunks.
#[derive(Debug)]
pub struct Chunks {
    part: Part,
    /// Bytes that the chunks so far have announced.
    announced: u64,
    /// Limit on the body, bytes.
    limit: u64,
}

impl Chunks {
    /// Creates a decoder of a body of up to `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { part: Part::Size, announced: 0, limit }
    }

    /// Decodes what `buffer` holds, and removes it.
    ///
    /// # Errors
    ///
    /// Fails if the encoding is malformed, and as soon as chunks announce more than the limit.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded> {
        let mut joined = BytesMut::new();
        let mut used = 0;
        while joined.len() < PIECE_BYTES {
            let rest = &buffer[used..];
            let Some(taken) = (match self.part {
                Part::Size => self.read_size(rest)?,
                Part::Data(_) if rest.is_empty() => None,
                Part::Data(left) => {
                    let size = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    let left = left - size as u64;
                    self.part = if left == 0 { Part::DataEnd } else { Part::Data(left) };
                    if joined.is_empty() && size >= PIECE_BYTES / 2 {
                        buffer.advance(used);
                        return Ok(Decoded::Piece(buffer.split_to(size).freeze()));
                    }
                    joined.extend_from_slice(&rest[..size]);
                    Some(size)
                }
                Part::DataEnd => self.read_data_end(rest)?,
                Part::Trailers(bytes) => self.read_trailer(rest, bytes)?,
                Part::End => None,
            }) else {
                break;
            };
            used += taken;
        }
        buffer.advance(used);
        Ok(match self.part {
            _ if !joined.is_empty() => Decoded::Piece(joined.freeze()),
            Part::End => Decoded::End,
            _ => Decoded::Partial,
        })
    }

    /// Returns how many bytes the next read is to bring at most: those of the present chunk, or of a line.
    pub(super) fn wanted(&self) -> usize {
        match self.part {
            Part::Data(left) => usize::try_from(left).unwrap_or(usize::MAX).saturating_add(2),
            _ => MAX_LINE_BYTES,
        }
    }

    /// Reads a line with a size, and counts it against the limit. Returns the length of the line, as the other
    /// readers do; `None` if more bytes are needed.
    fn read_size(&mut self, bytes: &[u8]) -> Result<Option<usize>> {
        match httparse::parse_chunk_size(&bytes[..bytes.len().min(MAX_LINE_BYTES)]) {
            Ok(httparse::Status::Complete((used, size))) => {
                self.announced = self.announced.saturating_add(size);
                if self.announced > self.limit {
                    return Err(Error::BodyTooLarge(self.limit));
                }
                self.part = if size == 0 { Part::Trailers(0) } else { Part::Data(size) };
                Ok(Some(used))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_LINE_BYTES => Ok(None),
            _ => Err(malformed("the size of a chunk cannot be read")),
        }
    }

    /// Reads the end of the line after a chunk.
    fn read_data_end(&mut self, bytes: &[u8]) -> Result<Option<usize>> {
        match bytes {
            [b'\r', b'\n', ..] => {
                self.part = Part::Size;
                Ok(Some(2))
            }
            [] | [b'\r'] => Ok(None),
            _ => Err(malformed("a chunk does not end with its line")),
        }
    }

    /// Reads one line of the trailers, of which there were `former` bytes.
    fn read_trailer(&mut self, bytes: &[u8], former: usize) -> Result<Option<usize>> {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        let total = former + end.unwrap_or(bytes.len());
        if total > MAX_TRAILER_BYTES {
            return Err(malformed("the trailers are too long"));
        }
        let Some(end) = end else { return Ok(None) };
        let is_last = matches!(bytes[..end], [b'\r', b'\n'] | [b'\n']);
        self.part = if is_last { Part::End } else { Part::Trailers(total) };
        Ok(Some(end))
    }
}

fn malformed(reason: &str) -> Error {
    Error::Malformed(reason.to_owned())
}

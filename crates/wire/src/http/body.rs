//! Bodies of requests and responses.

use super::chunks::Chunks;
use super::collected::Collected;
use super::reader::{Framing, Reader};
use super::{Error, Result};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;

/// Receives the connection's reader back once the body was read to its end.
pub(super) type Slot = Rc<RefCell<Option<Reader>>>;

/// Produces the pieces of a body while it is sent.
pub trait Source {
    /// Returns the next piece, `None` at the end.
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>>;

    /// The remaining length in bytes, if known; otherwise the body is sent chunked.
    fn length(&self) -> Option<u64> {
        None
    }
}

/// The body of a request or a response.
pub enum Body {
    /// No body.
    Empty,
    /// A body that is completely in memory.
    Full(Bytes),
    /// A body that is received from a connection.
    Incoming(Incoming),
    /// A body that is produced while it is sent.
    Source(Box<dyn Source>),
}

impl Body {
    /// The length in bytes, if it is known in advance.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Full(bytes) => Some(bytes.len() as u64),
            Self::Incoming(incoming) => incoming.length(),
            Self::Source(source) => source.length(),
        }
    }

    /// Returns the next piece, `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        match self {
            Self::Empty => None,
            Self::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                *self = Self::Empty;
                if bytes.is_empty() { None } else { Some(Ok(bytes)) }
            }
            Self::Incoming(incoming) => incoming.next().await,
            Self::Source(source) => source.next().await,
        }
    }

    /// Reads the body to its end, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than `limit`, truncated or malformed, or if the peer is too slow.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes> {
        if let Self::Full(bytes) = self {
            return Ok(bytes);
        }
        let mut collected = Collected::default();
        while let Some(piece) = self.next().await {
            collected.push(&piece?);
            if let Self::Incoming(incoming) = &mut self {
                incoming.set_collected(collected.held());
            }
            if collected.len() > limit {
                return Err(Error::BodyTooLarge(limit as u64));
            }
        }
        Ok(collected.into_bytes())
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(bytes)
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Full(text.into())
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Self::Full(Bytes::from_static(text.as_bytes()))
    }
}

/// A body that is received from a connection.
pub struct Incoming {
    reader: Option<Reader>,
    framing: Framing,
    slot: Slot,
}

impl Incoming {
    pub(super) fn new(reader: Reader, framing: Framing, slot: Slot) -> Self {
        let mut incoming = Self { reader: Some(reader), framing, slot };
        if matches!(incoming.framing, Framing::Length(0)) {
            incoming.finish();
        }
        incoming
    }

    fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(remaining) => Some(remaining),
            _ => None,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes>> {
        let reader = self.reader.as_mut()?;
        let piece = reader.body(&mut self.framing).await;
        match &piece {
            Ok(Some(_)) if matches!(self.framing, Framing::Length(0)) => self.finish(),
            Ok(Some(_)) => {}
            Ok(None) => self.finish(),
            // Drops the reader, so that the connection is never reused.
            Err(_) => self.reader = None,
        }
        piece.transpose()
    }

    /// Charges the bytes that the consumer of the body keeps until the request is answered.
    fn set_collected(&mut self, bytes: usize) {
        if let Some(reader) = &mut self.reader {
            reader.set_collected(bytes);
        } else if let Some(reader) = &mut *self.slot.borrow_mut() {
            reader.set_collected(bytes);
        }
    }

    fn finish(&mut self) {
        let reusable = !matches!(self.framing, Framing::UntilClose(_));
        let mut reader = self.reader.take();
        if let Some(reader) = &mut reader {
            reader.finish_message();
        }
        if reusable {
            *self.slot.borrow_mut() = reader;
        }
    }
}

/// Determines the framing of the body of a request with these headers.
pub(super) fn request_framing(headers: &HeaderMap, limit: u64) -> Result<Framing> {
    Ok(framing(headers, limit)?.unwrap_or(Framing::Length(0)))
}

/// Determines the framing of the body of a response with this status and these headers.
pub(super) fn response_framing(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
    limit: u64,
) -> Result<Framing> {
    let has_no_body = method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if has_no_body {
        return Ok(Framing::Length(0));
    }
    Ok(framing(headers, limit)?.unwrap_or(Framing::UntilClose(0)))
}

fn framing(headers: &HeaderMap, limit: u64) -> Result<Option<Framing>> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Malformed("more than one Content-Length".to_owned()));
    }
    if let Some(encoding) = headers.get(TRANSFER_ENCODING) {
        if length.is_some() {
            return Err(Error::Malformed("both Content-Length and Transfer-Encoding".to_owned()));
        }
        if !encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(Error::Malformed("a Transfer-Encoding other than chunked".to_owned()));
        }
        return Ok(Some(Framing::Chunked(Chunks::new(limit))));
    }
    let Some(length) = length else { return Ok(None) };
    let digits = length.to_str().ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    let Some(length) = digits.and_then(|text| text.parse::<u64>().ok()) else {
        return Err(Error::Malformed("a Content-Length that is not a number".to_owned()));
    };
    if length > limit {
        return Err(Error::BodyTooLarge(limit));
    }
    Ok(Some(Framing::Length(length)))
}

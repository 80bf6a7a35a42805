//! The body of a request, buffered for retries if it is small.

use super::upload::Upload;
use bytes::Bytes;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::Body;
use std::cell::Cell;
use std::rc::Rc;

/// The largest body that is buffered before the first attempt so that it can be sent again, in
/// bytes.
const MAX_REPLAY_BYTES: u64 = 64 * 1024;

/// The body of a request.
pub enum Payload {
    /// Buffered; can be sent again.
    Buffered(Bytes),
    /// Not read yet; is streamed from the caller and can be sent once.
    Streamed(Body),
    /// A streamed body that has been taken for an attempt; the flag states whether the caller
    /// aborted.
    Taken(Rc<Cell<bool>>),
}

impl Payload {
    /// Buffers a small body; a large body, or one of unknown length, is streamed later.
    ///
    /// # Errors
    ///
    /// Fails when the caller aborts or is too slow.
    pub async fn read(body: Body) -> Result<Self> {
        match body.length() {
            Some(length) if length <= MAX_REPLAY_BYTES => {
                Ok(Self::Buffered(body.collect(MAX_REPLAY_BYTES as usize).await?))
            }
            _ => Ok(Self::Streamed(body)),
        }
    }

    /// Returns whether the body can still be sent from its start.
    pub fn is_replayable(&self) -> bool {
        !matches!(self, Self::Taken(_))
    }

    /// Returns whether the caller aborted while its body was streamed.
    pub(super) fn is_caller_aborted(&self) -> bool {
        matches!(self, Self::Taken(aborted) if aborted.get())
    }

    /// Returns the body for an attempt. A streamed body is returned once, then an empty one.
    pub(super) fn take(&mut self) -> Body {
        let aborted = Rc::new(Cell::new(false));
        match std::mem::replace(self, Self::Taken(aborted.clone())) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                Body::Full(bytes)
            }
            Self::Streamed(body) => Body::Source(Box::new(Upload { body, aborted })),
            Self::Taken(_) => Body::Empty,
        }
    }
}

//! The body of a request, kept for another attempt if it is small.

use super::upload::Upload;
use bytes::Bytes;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::Body;
use std::cell::Cell;
use std::rc::Rc;

/// The largest body that is read before the first attempt, bytes.
const REPLAY_BYTES: u64 = 64 * 1024;

/// The body of a request.
pub enum Payload {
    /// At hand as a whole; can be sent again.
    Whole(Bytes),
    /// Streamed from the caller; can be sent once.
    Streamed(Body),
    /// Was streamed and is gone; tells whether the caller broke off.
    Sent(Rc<Cell<bool>>),
}

impl Payload {
    /// Reads a small body, and leaves a large one or one of unknown length to be streamed.
    ///
    /// # Errors
    ///
    /// Fails when the caller breaks off or is too slow.
    pub async fn read(body: Body) -> Result<Self> {
        match body.length() {
            Some(length) if length <= REPLAY_BYTES => {
                Ok(Self::Whole(body.collect(REPLAY_BYTES as usize).await?))
            }
            _ => Ok(Self::Streamed(body)),
        }
    }

    /// Whether the body can still be sent from its start.
    pub fn is_replayable(&self) -> bool {
        !matches!(self, Self::Sent(_))
    }

    /// Whether the caller broke off while its body was streamed.
    pub(super) fn is_broken(&self) -> bool {
        matches!(self, Self::Sent(broken) if broken.get())
    }

    /// The body for an attempt; a streamed one is given once.
    pub(super) fn take(&mut self) -> Body {
        let broken = Rc::new(Cell::new(false));
        match std::mem::replace(self, Self::Sent(broken.clone())) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Body::Full(bytes)
            }
            Self::Streamed(body) => Body::Source(Box::new(Upload { body, broken })),
            Self::Sent(_) => Body::Empty,
        }
    }
}

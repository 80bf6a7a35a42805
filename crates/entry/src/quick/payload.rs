//! The body of a request, kept for another attempt if it is small.

use bytes::Bytes;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::Body;

/// The largest body that is read before the first attempt, bytes.
const REPLAY_BYTES: u64 = 64 * 1024;

/// The body of a request.
pub enum Payload {
    /// At hand as a whole; can be sent again.
    Whole(Bytes),
    /// Streamed from the caller; can be sent once.
    Streamed(Option<Body>),
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
            _ => Ok(Self::Streamed(Some(body))),
        }
    }

    /// Whether the body can still be sent from its start.
    pub fn is_replayable(&self) -> bool {
        !matches!(self, Self::Streamed(None))
    }

    /// The body for an attempt; a streamed one is given once.
    pub(super) fn take(&mut self) -> Body {
        match self {
            Self::Whole(bytes) => Body::Full(bytes.clone()),
            Self::Streamed(body) => body.take().unwrap_or(Body::Empty),
        }
    }
}

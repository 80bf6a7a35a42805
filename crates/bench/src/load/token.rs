//! Bodies that match an answer with its request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

const HEX_DIGITS: usize = 16;
const NUMBER_BITS: u32 = 48;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// The identity of one request of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(u64);

impl Token {
    /// The token of request `number` of one stream.
    pub fn new(thread: u16, number: u64) -> Self {
        Self((u64::from(thread) << NUMBER_BITS) | (number & NUMBER_MASK))
    }

    /// The number of the request within its stream.
    pub fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }

    /// Returns a body of `bytes` bytes, at least 16, that is unique to this token.
    pub fn body(self, bytes: usize) -> Bytes {
        let head = self.to_string();
        let mut body = Vec::with_capacity(bytes.max(HEX_DIGITS));
        while body.len() < bytes.max(HEX_DIGITS) {
            body.extend_from_slice(head.as_bytes());
        }
        body.truncate(bytes.max(HEX_DIGITS));
        body.into()
    }

    /// Whether `answer` is the complete answer to the request with this token and the body `sent`.
    pub fn matches(self, sent: &Bytes, answer: &Bytes) -> bool {
        sent == answer && answer.starts_with(self.to_string().as_bytes())
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

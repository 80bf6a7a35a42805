//! Bodies by which an answer is matched with its request.

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
    /// The request with this number among those of one generator thread.
    pub fn new(thread: u16, number: u64) -> Self {
        Self((u64::from(thread) << NUMBER_BITS) | (number & NUMBER_MASK))
    }

    /// The number among the tokens of its generator thread.
    pub fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }

    /// A body of `bytes` bytes that no other token has.
    pub fn body(self, bytes: usize) -> Bytes {
        let head = self.to_string();
        let mut body = Vec::with_capacity(bytes.max(HEX_DIGITS));
        while body.len() < bytes.max(HEX_DIGITS) {
            body.extend_from_slice(head.as_bytes());
        }
        body.truncate(bytes.max(HEX_DIGITS));
        body.into()
    }

    /// Whether `answer` is the whole answer to the request with this token and `sent` as its body.
    pub fn matches(self, sent: &Bytes, answer: &Bytes) -> bool {
        sent == answer && answer.starts_with(self.to_string().as_bytes())
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

use super::{Error, Result};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Digits of an identifier.
const DIGITS: usize = 16;

/// The caller's identifier of a job: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let refused = || Error::Id(text.chars().take(2 * DIGITS).collect());
        if text.len() != DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(refused());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| refused())
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

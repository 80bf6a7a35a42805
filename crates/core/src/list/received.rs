use super::{Reader, Whole};
use serde::{Serialize, Serializer};

/// The rows of a list that could be read, and whether the sender has others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received<T> {
    pub(super) rows: Vec<T>,
    /// How many rows could be read before the first that could not.
    pub(super) first_gap: Option<usize>,
    /// Whether the sender may have rows after the last one.
    pub(super) has_more: bool,
}

impl<T> Received<T> {
    /// Reads `rows`, each of which is readable.
    pub fn new(rows: impl IntoIterator<Item = T>, has_more: bool) -> Self {
        let mut reader = Reader::default();
        reader.extend(rows.into_iter().map(Some));
        reader.finish(has_more)
    }

    /// The rows that could be read, whether the list is whole or not.
    pub fn rows(&self) -> &[T] {
        &self.rows
    }

    /// The rows before the first that could not be read; all of them if there is none.
    pub fn rows_before_gap(&self) -> &[T] {
        &self.rows[..self.first_gap.unwrap_or(self.rows.len())]
    }

    /// Whether a row could not be read.
    pub fn has_gap(&self) -> bool {
        self.first_gap.is_some()
    }

    /// Whether the sender may have rows after the last one.
    pub fn has_more(&self) -> bool {
        self.has_more
    }

    /// Whether a row that is missing here is absent at the sender.
    pub fn is_whole(&self) -> bool {
        !self.has_gap() && !self.has_more
    }

    /// The list as one that has every row of the sender.
    ///
    /// # Errors
    ///
    /// Returns the list unchanged if it does not.
    pub fn into_whole(self) -> Result<Whole<T>, Self> {
        if self.is_whole() { Ok(Whole::new(self.rows)) } else { Err(self) }
    }

    /// The rows that could be read, whether the list is whole or not.
    pub fn into_rows(self) -> Vec<T> {
        self.rows
    }
}

impl<T> Default for Received<T> {
    fn default() -> Self {
        Self::new(Vec::new(), false)
    }
}

/// A list is written as its rows, so only one without a gap can be.
impl<T: Serialize> Serialize for Received<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.has_gap() {
            return Err(serde::ser::Error::custom("a row of the list could not be read"));
        }
        self.rows.serialize(serializer)
    }
}

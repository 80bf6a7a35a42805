use serde::{Deserialize, Serialize};
use std::ops::Deref;

/// A list that has every row of its sender; made by [`Received::into_whole`](super::Received::into_whole),
/// or read from a message whose sender leaves the field out unless the list is whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Whole<T>(Vec<T>);

impl<T> Whole<T> {
    pub(super) fn new(rows: Vec<T>) -> Self {
        Self(rows)
    }

    /// The rows.
    pub fn into_rows(self) -> Vec<T> {
        self.0
    }
}

impl<T> Deref for Whole<T> {
    type Target = [T];

    fn deref(&self) -> &[T] {
        &self.0
    }
}

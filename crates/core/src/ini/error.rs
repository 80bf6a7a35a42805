//! Errors with the file and line at which they occurred.

use super::Fault;
use crate::name::Name;

/// A fault and its location in a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {fault}")]
pub struct Error {
    /// The file name as given by the operator.
    pub file: Name,
    /// The line number, counted from 1; 0 if the file could not be read.
    pub line: u32,
    /// The fault, whose message includes the remedy.
    pub fault: Fault,
}

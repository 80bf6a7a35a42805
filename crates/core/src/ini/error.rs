//! A fault at its place in a file.

use super::Fault;
use crate::name::Name;

/// What is wrong at a line of a file, and its remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {fault}")]
pub struct Error {
    /// The file's name as the operator gave it.
    pub file: Name,
    /// The line, counted from 1; 0 when the file could not be read.
    pub line: u32,
    /// What is wrong, and its remedy.
    pub fault: Fault,
}

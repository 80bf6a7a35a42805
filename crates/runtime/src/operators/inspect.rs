//! What a program tells its operators.

/// Why a process takes no work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not ready: {0}")]
pub struct NotReady(pub String);

/// A program as its operators see it.
pub trait Inspect {
    /// Whether it takes work.
    ///
    /// # Errors
    ///
    /// Says why it does not.
    fn ready(&self) -> Result<(), NotReady>;

    /// Its whole state.
    fn dump(&self) -> serde_json::Value;
}

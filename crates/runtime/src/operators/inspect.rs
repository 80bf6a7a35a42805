//! The state that a program shows to its operators.

/// The reason why a process accepts no work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not ready: {0}")]
pub struct NotReady(pub String);

/// Exposes the readiness and the state of a program to its operators.
pub trait Inspect {
    /// Checks whether the program accepts work.
    ///
    /// # Errors
    ///
    /// Returns the reason if it does not.
    fn ready(&self) -> Result<(), NotReady>;

    /// Returns the complete state of the program.
    fn dump(&self) -> serde_json::Value;
}

//! Outcome of a configuration text.

use super::Refusal;

/// Outcome of [`super::State::offer`] and [`super::State::apply_update`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The text is in force now.
    InForce,
    /// A text of this or a higher revision is in force already.
    NotNewer,
    /// The patch does not apply to the text in force; the update is fetched again.
    BaseMismatch,
    /// The text is invalid; the one in force stays.
    Refused(Refusal),
}

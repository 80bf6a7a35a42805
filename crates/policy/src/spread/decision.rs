//! What became of a text.

use super::Refusal;

/// The outcome of [`super::State::offer`] and [`super::State::apply_update`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The text is in force now.
    InForce,
    /// A text of this or a higher revision is in force already.
    NotNewer,
    /// The update is a patch of another text than the one in force; it is fetched again.
    BaseMismatch,
    /// The text is not valid; the one in force stays.
    Refused(Refusal),
}

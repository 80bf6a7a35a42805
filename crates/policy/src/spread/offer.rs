//! What became of a text.

use super::Refusal;

/// The outcome of [`super::State::offer`] and [`super::State::take`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The text is in force now.
    InForce,
    /// A text of this or a higher revision is in force already.
    Known,
    /// The update is a patch of another text than the one in force; it is fetched again.
    Unfit,
    /// The text is not valid; the one in force stays.
    Refused(Refusal),
}

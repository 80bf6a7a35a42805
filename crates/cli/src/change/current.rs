//! The configuration as the store has it.

use shallotflow_core::fleet::{Changes, Config};
use shallotflow_core::ini;

/// The text in force with what is known of its changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Current {
    /// The revision, 0 when nothing was ever applied.
    pub revision: i64,
    /// The text.
    pub text: String,
    /// The last changes.
    pub changes: Changes,
}

impl Current {
    /// The name of the text in messages.
    pub const SOURCE: &'static str = "store";

    /// The configuration that the text gives.
    ///
    /// # Errors
    ///
    /// Fails when something else than this program wrote an invalid text.
    pub fn config(&self) -> ini::Result<Config> {
        Config::parse(Self::SOURCE, &self.text)
    }
}

//! The configuration that is currently in the store.

use shallotflow_core::fleet::{Changes, Config};
use shallotflow_core::ini;

/// The configuration text in force and the record of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Current {
    /// Store revision of the text, 0 if no configuration was ever applied.
    pub revision: i64,
    /// The configuration text (INI).
    pub text: String,
    /// Identifiers and revisions of the most recent changes.
    pub changes: Changes,
}

impl Current {
    /// The source name of the text in error messages.
    pub const SOURCE: &'static str = "store";

    /// Parses the text.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid, which only happens if another program wrote it.
    pub fn config(&self) -> ini::Result<Config> {
        Config::parse(Self::SOURCE, &self.text)
    }
}

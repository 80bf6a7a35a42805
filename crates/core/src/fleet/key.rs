//! Where the store keeps the configuration.

/// The prefix of the keys of the configuration.
pub const PREFIX: &str = "/shallotflow/config/";
/// The key of the text; its last revision is the revision of the configuration.
pub const TEXT: &str = "/shallotflow/config/text";
/// The key of the last changes, written together with the text.
pub const CHANGES: &str = "/shallotflow/config/changes";
/// The prefix of earlier texts; the rest of the key is the revision of the text.
pub const PAST_PREFIX: &str = "/shallotflow/past-config/";

/// The key of the text that was in force at `revision`.
pub fn past(revision: i64) -> String {
    format!("{PAST_PREFIX}{revision}")
}

//! Store keys of the configuration.

/// The prefix of the configuration keys.
pub const PREFIX: &str = "/shallotflow/config/";
/// The key of the text; its modification revision is the revision of the configuration.
pub const TEXT: &str = "/shallotflow/config/text";
/// The key of the change history, written in the same transaction as the text.
pub const CHANGES: &str = "/shallotflow/config/changes";
/// The prefix of earlier texts; the suffix is the revision of the text.
pub const PAST_PREFIX: &str = "/shallotflow/past-config/";

/// The key of the text that was in force at `revision`.
pub fn past(revision: i64) -> String {
    format!("{PAST_PREFIX}{revision}")
}

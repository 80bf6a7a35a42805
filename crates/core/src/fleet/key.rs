//! Where the store keeps the configuration.

/// The prefix of the keys of the configuration.
pub const PREFIX: &str = "/shallotflow/config/";
/// The key of the text; its last revision is the revision of the configuration.
pub const TEXT: &str = "/shallotflow/config/text";
/// The key of the last changes, written together with the text.
pub const CHANGES: &str = "/shallotflow/config/changes";

use super::super::Exception;
use crate::name::Name;
use serde::Serialize;

/// The kind of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The exception has expired.
    Expired,
    /// No known worker or kind of work fulfils the condition.
    Unmatched,
    /// Another exception always overrides the value.
    Overridden,
    /// The value equals what holds without the exception.
    Redundant,
    /// Values contradict each other or a limit.
    Contradiction,
}

/// Something in a valid configuration that is probably not intended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The kind.
    pub kind: Kind,
    /// The section, such as `defaults` or `exception rush`.
    pub section: Name,
    /// The key that it concerns; `None` if it concerns the whole section.
    pub key: Option<Name>,
    /// The cause.
    pub detail: String,
    /// The remedy.
    pub remedy: String,
}

impl Finding {
    /// Creates a finding about `exception`.
    pub(super) fn about(
        exception: &Exception,
        kind: Kind,
        key: Option<&str>,
        detail: String,
        remedy: &str,
    ) -> Self {
        let section = Exception::header(&exception.id).into();
        Self { kind, section, key: key.map(Name::from), detail, remedy: remedy.to_owned() }
    }

    pub(super) fn expired(exception: &Exception) -> Self {
        let detail = "it has expired and applies no more".to_owned();
        Self::about(exception, Kind::Expired, None, detail, "remove it, or give a later `expires`")
    }
}

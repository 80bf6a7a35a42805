use serde::Serialize;

/// Why the table may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Ground {
    /// No entry is known to have claimed it.
    Unclaimed,
    /// Its owner has released it.
    Released,
    /// This entry, or its former process, has claimed it and does not own it any more.
    Own,
    /// Its owner is not present, and does not answer or has lost the store.
    Absent,
    /// Its owner reports that it does not own it.
    Disowned,
}

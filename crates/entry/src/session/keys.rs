//! Keys in the store.
//!
//! Entries and owners have their own prefix, so that the watch on them receives no segments.

/// The prefix that every entry watches: the live entries and the owners of ledgers.
pub const FLEET: &str = "/shallotflow/fleet/";

const ENTRIES: &str = "/shallotflow/fleet/entries/";
const OWNERS: &str = "/shallotflow/fleet/owners/";

/// Returns the key of a live entry.
pub fn entry(name: &str) -> String {
    format!("{ENTRIES}{name}")
}

/// Returns the name of the entry that a key belongs to.
pub fn parse_entry(key: &str) -> Option<&str> {
    key.strip_prefix(ENTRIES)
}

/// Returns the key that holds a ledger's owner.
pub fn owner(ledger: u32) -> String {
    format!("{OWNERS}{ledger}")
}

/// Returns the ledger of an owner key.
pub fn parse_owner(key: &str) -> Option<u32> {
    key.strip_prefix(OWNERS)?.parse().ok()
}

/// Returns the prefix of a ledger's segment keys.
pub fn segments(ledger: u32) -> String {
    format!("/shallotflow/ledgers/{ledger}/segments/")
}

/// Returns the key of a segment; the zero padding sorts keys by sequence number.
pub fn segment(ledger: u32, sequence: u64) -> String {
    format!("{}{sequence:020}", segments(ledger))
}

/// Returns the sequence number of a segment key.
pub fn parse_segment(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

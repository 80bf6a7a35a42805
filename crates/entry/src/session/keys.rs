//! Where things are in the store.
//!
//! Entries and owners lie apart from the segments, so that the watch on them carries no segments.

/// What every entry watches: the live entries and the owners of ledgers.
pub const FLEET: &str = "/shallotflow/fleet/";

const ENTRIES: &str = "/shallotflow/fleet/entries/";
const OWNERS: &str = "/shallotflow/fleet/owners/";

/// The key of a live entry.
pub fn entry(name: &str) -> String {
    format!("{ENTRIES}{name}")
}

/// The entry that a key belongs to.
pub fn parse_entry(key: &str) -> Option<&str> {
    key.strip_prefix(ENTRIES)
}

/// The key of a ledger's owner.
pub fn owner(ledger: u32) -> String {
    format!("{OWNERS}{ledger}")
}

/// The ledger whose owner's key this is.
pub fn parse_owner(key: &str) -> Option<u32> {
    key.strip_prefix(OWNERS)?.parse().ok()
}

/// The prefix of a ledger's segments.
pub fn segments(ledger: u32) -> String {
    format!("/shallotflow/ledgers/{ledger}/segments/")
}

/// The key of a segment; keys sort by the number of the segment.
pub fn segment(ledger: u32, sequence: u64) -> String {
    format!("{}{sequence:020}", segments(ledger))
}

/// The number of the segment that a key belongs to.
pub fn parse_segment(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

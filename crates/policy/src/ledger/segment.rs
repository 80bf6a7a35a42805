//! Groups of changes that are written to the store atomically.

/// A segment of a ledger's log, ready to be written.
///
/// The write is retried unchanged until its outcome is known. It is idempotent: it succeeds only
/// if the segment's key does not exist and the owner's key still has the epoch, so it takes effect
/// at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// The sequence number of the segment; increases within a ledger.
    pub sequence: u64,
    /// The text: a JSON header line with the epoch of the writer, then one JSON line per job.
    pub body: String,
    /// Sequence numbers of the segments that it replaces and that the same write deletes.
    pub replaced: Vec<u64>,
}

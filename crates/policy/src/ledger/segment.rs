//! A group of changes that is written to the store at once.

/// A segment of a ledger's log, ready to be written.
///
/// Written again unchanged until its fate is known: the key of the segment must not exist, and the
/// owner's key must still have the epoch, so it takes effect at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// The number of the segment, larger for each.
    pub sequence: u64,
    /// The text: one line of JSON for the writer, then one for each job.
    pub body: String,
    /// Segments that it replaces; they are deleted with it.
    pub replaced: Vec<u64>,
}

//! What values are asked for.

/// A place and a piece of work; what does not apply is left empty.
///
/// A condition on something that is left empty does not match.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subject<'a> {
    /// The failure domain.
    pub domain: &'a str,
    /// The worker.
    pub worker: &'a str,
    /// The kind of work.
    pub kind: &'a str,
    /// The caller.
    pub caller: &'a str,
}

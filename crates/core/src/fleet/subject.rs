//! The subject that values are resolved for.

/// A location and a piece of work; names that do not apply are empty.
///
/// A condition on an empty name does not match.
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

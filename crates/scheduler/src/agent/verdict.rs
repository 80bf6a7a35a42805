/// What becomes of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It describes the known incarnation and applies.
    Applied,
    /// It claims another incarnation, and applies once that one answers a poll.
    Claimed,
    /// It contradicts what is known.
    PassedOver,
}

use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// The learned effect of best-effort tasks on a serving task; see
/// [`Rates`](crate::disturbance::Rates).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Disturbance {
    /// Image of the serving task.
    pub victim: Name,
    /// Image of the best-effort task; `None` for the tail latency of the victim alone.
    pub neighbor: Option<Name>,
    /// The victim's tail latency alone, or the latency added by a neighbor that uses the whole worker;
    /// as a share of the victim's target.
    pub added: f32,
}

use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// What is known of tasks that serve beside tasks that fill; see
/// [`Rates`](crate::disturbance::Rates).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Disturbance {
    /// The image of the task that serves.
    pub victim: Name,
    /// The image of the task that fills; none for what the victim measures alone.
    pub neighbor: Option<Name>,
    /// The victim's tail latency alone, or what a whole worker of the neighbor adds to it, as a
    /// share of its target.
    pub added: f32,
}

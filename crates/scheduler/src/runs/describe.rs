use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::Profile;
use shallotflow_wire::control::Call;

/// Requests the worker's profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Describe {}

impl Call for Describe {
    const PATH: &'static str = "/runs/describe";
    type Reply = Profile;
}

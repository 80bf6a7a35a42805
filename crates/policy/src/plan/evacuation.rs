use serde::Serialize;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// An evacuated failure domain: nothing starts at its workers until the request is withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: Name,
    /// Revision of the request in the store; 0 if the configuration evacuates the domain.
    pub revision: i64,
    /// Since when this owner knows of the request.
    pub since: Time,
    /// Number of the domain's workers that this owner knows.
    pub workers: usize,
    /// Number of runs at these workers, including those that start or stop.
    pub runs: usize,
}

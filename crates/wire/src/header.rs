//! Names of the headers between callers, entries, agents and targets.

/// Who asks.
pub const CALLER: &str = "shallotflow-caller";
/// Milliseconds left until the deadline.
pub const DEADLINE_MS: &str = "shallotflow-deadline-ms";
/// Whether the request may run more than once.
pub const IDEMPOTENT: &str = "shallotflow-idempotent";
/// The class of work.
pub const CLASS: &str = "shallotflow-class";
/// What the request needs.
pub const RESOURCES: &str = "shallotflow-resources";
/// The identifier of the request, for logs.
pub const REQUEST_ID: &str = "shallotflow-request-id";
/// How many entries the request has crossed.
pub const HOPS: &str = "shallotflow-hops";
/// Whether the request ran.
pub const OUTCOME: &str = "shallotflow-outcome";
/// Which worker answered.
pub const WORKER: &str = "shallotflow-worker";
/// The load of the target, from its agent.
pub const LOAD: &str = "shallotflow-load";
/// Identifies a submission of a job.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

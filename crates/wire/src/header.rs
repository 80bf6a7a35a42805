//! Names of the HTTP headers that callers, entries, agents and targets exchange.

/// Name of the caller.
pub const CALLER: &str = "shallotflow-caller";
/// Time until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "shallotflow-deadline-ms";
/// Whether the request may run more than once.
pub const IDEMPOTENT: &str = "shallotflow-idempotent";
/// Class of work.
pub const CLASS: &str = "shallotflow-class";
/// Resources that the request needs.
pub const RESOURCES: &str = "shallotflow-resources";
/// Identifier of the request, for logs.
pub const REQUEST_ID: &str = "shallotflow-request-id";
/// Number of entries that the request has passed through.
pub const HOPS: &str = "shallotflow-hops";
/// Whether the target ran the request.
pub const OUTCOME: &str = "shallotflow-outcome";
/// Name of the worker that answered.
pub const WORKER: &str = "shallotflow-worker";
/// Load of the target, as measured by its agent.
pub const LOAD: &str = "shallotflow-load";
/// Idempotency key of a job submission.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

//! Attempts that gave no answer to pass on.

use ::http::StatusCode;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::http;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;

const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// An attempt that gave no answer to pass on.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    /// What the caller is told if no other attempt follows.
    pub(super) problem: Problem,
    /// Whether another target may do better.
    pub(super) transient: bool,
    /// Whether the target is to blame.
    pub(super) blame: bool,
}

impl Failure {
    /// No connection was made, so that nothing was sent.
    pub(super) fn unreachable(error: &http::Error) -> Self {
        let problem = Problem::not_run(Code::TargetLost, error.to_string());
        Self { problem, transient: true, blame: true }
    }

    /// The connection broke after the send, so that the request may have run.
    pub(super) fn lost(address: SocketAddr, error: &http::Error) -> Self {
        let detail = format!("the peer at {address} broke off: {error}");
        let problem = Problem::unknown(Code::TargetLost, detail);
        Self { problem, transient: true, blame: true }
    }

    /// The caller broke off while its body was streamed to the target.
    pub(super) fn broken_caller(error: &http::Error) -> Self {
        let problem = Problem { outcome: Outcome::Unknown, ..caller_problem(error) };
        Self { problem, transient: false, blame: false }
    }

    /// The time for the attempt passed before the answer was whole.
    pub(super) fn timed_out(address: SocketAddr, sent: bool) -> Self {
        if sent {
            let detail = format!("the peer at {address} gave no whole answer in time");
            let problem = Problem::unknown(Code::TimedOut, detail);
            return Self { problem, transient: true, blame: true };
        }
        let detail = format!("no connection to {address} was made before the deadline");
        let problem = Problem::not_run(Code::DeadlinePassed, detail);
        Self { problem, transient: true, blame: true }
    }

    /// The peer's own problem document, or one made from its status.
    pub(super) async fn refused(
        outcome: Outcome,
        status: StatusCode,
        body: Body,
        address: SocketAddr,
    ) -> Self {
        let body = body.collect(MAX_PROBLEM_BYTES).await.unwrap_or_default();
        let problem = serde_json::from_slice::<Problem>(&body).unwrap_or_else(|_| {
            let detail = format!("the peer at {address} answered {status} without a document");
            match outcome {
                Outcome::NotRun => Problem::not_run(Code::Overloaded, detail),
                Outcome::Done | Outcome::Unknown => Problem::unknown(Code::TargetLost, detail),
            }
        });
        let transient = matches!(
            problem.code,
            Code::Overloaded
                | Code::Leaving
                | Code::DeadlinePassed
                | Code::TargetLost
                | Code::NeverFits
                | Code::UnknownKind
        );
        let blame = problem.code == Code::TargetLost;
        Self { problem: Problem { outcome, ..problem }, transient, blame }
    }
}

/// The problem of a caller whose body could not be read; nothing was sent to a target yet.
pub fn caller_problem(error: &http::Error) -> Problem {
    let code = match error {
        http::Error::BodyTooLarge(_) => Code::BodyTooLarge,
        http::Error::Slow => Code::SlowCaller,
        _ => Code::Malformed,
    };
    Problem::not_run(code, error.to_string())
}

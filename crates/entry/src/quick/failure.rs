//! Failed attempts.

use ::http::StatusCode;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::http;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;

const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// An attempt that produced no response for the caller.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    /// The problem document for the caller if no other attempt follows.
    pub(super) problem: Problem,
    /// Whether an attempt at another target may succeed.
    pub(super) retryable: bool,
    /// Whether the failure counts against the target's health.
    pub(super) target_fault: bool,
}

impl Failure {
    /// The connection could not be established, so nothing was sent.
    pub(super) fn unreachable(error: &http::Error) -> Self {
        let problem = Problem::not_run(Code::TargetLost, error.to_string());
        Self { problem, retryable: true, target_fault: true }
    }

    /// The connection failed after the request was sent, so the request may have run.
    pub(super) fn connection_lost(address: SocketAddr, error: &http::Error) -> Self {
        let detail = format!("the connection to {address} failed after the send: {error}");
        let problem = Problem::unknown(Code::TargetLost, detail);
        Self { problem, retryable: true, target_fault: true }
    }

    /// The caller aborted while its body was streamed to the target.
    pub(super) fn caller_aborted(error: &http::Error) -> Self {
        let problem = Problem { outcome: Outcome::Unknown, ..caller_problem(error) };
        Self { problem, retryable: false, target_fault: false }
    }

    /// The attempt timed out before the response was complete. `sent` states whether the request
    /// was sent.
    pub(super) fn timed_out(address: SocketAddr, sent: bool) -> Self {
        if sent {
            let detail = format!("the peer at {address} gave no complete answer in time");
            let problem = Problem::unknown(Code::TimedOut, detail);
            return Self { problem, retryable: true, target_fault: true };
        }
        let detail = format!("no connection to {address} was made before the deadline");
        let problem = Problem::not_run(Code::DeadlinePassed, detail);
        Self { problem, retryable: true, target_fault: true }
    }

    /// The peer refused the request: its problem document, or one derived from the status.
    pub(super) async fn refused(
        outcome: Outcome,
        status: StatusCode,
        body: Body,
        address: SocketAddr,
    ) -> Self {
        let body = body.collect(MAX_PROBLEM_BYTES).await.unwrap_or_default();
        let problem = serde_json::from_slice::<Problem>(&body).unwrap_or_else(|_| {
            let detail =
                format!("the peer at {address} answered {status} without a problem document");
            match outcome {
                Outcome::NotRun => Problem::not_run(Code::Overloaded, detail),
                Outcome::Done | Outcome::Unknown => Problem::unknown(Code::TargetLost, detail),
            }
        });
        let retryable = matches!(
            problem.code,
            Code::Overloaded
                | Code::Leaving
                | Code::DeadlinePassed
                | Code::TargetLost
                | Code::NeverFits
                | Code::UnknownKind
        );
        let target_fault = problem.code == Code::TargetLost;
        Self { problem: Problem { outcome, ..problem }, retryable, target_fault }
    }
}

/// The problem for a caller whose body could not be read, before anything was sent to a target.
pub fn caller_problem(error: &http::Error) -> Problem {
    let code = match error {
        http::Error::BodyTooLarge(_) => Code::BodyTooLarge,
        http::Error::Slow => Code::SlowCaller,
        _ => Code::Malformed,
    };
    Problem::not_run(code, error.to_string())
}

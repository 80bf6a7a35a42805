//! Errors returned to callers: a stable code, an outcome and a remedy.

use crate::outcome::Outcome;
use serde::{Deserialize, Serialize};

/// A stable error code of the interface to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The request is not well-formed.
    Malformed,
    /// A header has an invalid value.
    BadHeader,
    /// The deadline header has no unit, is zero or exceeds the limit.
    BadDeadline,
    /// The process serves no resource at this path.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// No target announces this kind of work.
    UnknownKind,
    /// No job has this identifier.
    UnknownJob,
    /// The request head exceeds the limit.
    HeadTooLarge,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The caller did not send its request within the time limit.
    SlowCaller,
    /// The idempotency key was already used with a different request.
    KeyReused,
    /// The request requires an idempotency key and has none.
    KeyMissing,
    /// The requested resources exceed the capacity of every worker.
    NeverFits,
    /// The caller has used up its share of the capacity.
    CallerOverShare,
    /// The load exceeds the capacity of the targets.
    Overloaded,
    /// The deadline passed before the work started.
    DeadlinePassed,
    /// No response arrived before the deadline; the work may have run.
    TimedOut,
    /// The connection to the target was lost after the request was sent.
    TargetLost,
    /// The owner of the job cannot be reached.
    OwnerUnavailable,
    /// The platform's store does not respond.
    StoreUnavailable,
    /// The process is shutting down.
    Leaving,
    /// A defect in the process itself.
    Internal,
}

impl Code {
    /// Every code, in the order of the reference page.
    pub const ALL: [Self; 22] = [
        Self::Malformed,
        Self::BadHeader,
        Self::BadDeadline,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::UnknownKind,
        Self::UnknownJob,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::SlowCaller,
        Self::KeyReused,
        Self::KeyMissing,
        Self::NeverFits,
        Self::CallerOverShare,
        Self::Overloaded,
        Self::DeadlinePassed,
        Self::TimedOut,
        Self::TargetLost,
        Self::OwnerUnavailable,
        Self::StoreUnavailable,
        Self::Leaving,
        Self::Internal,
    ];

    /// The code as written in problem documents, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BadHeader => "bad-header",
            Self::BadDeadline => "bad-deadline",
            Self::NotFound => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::UnknownKind => "unknown-kind",
            Self::UnknownJob => "unknown-job",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::SlowCaller => "slow-caller",
            Self::KeyReused => "key-reused",
            Self::KeyMissing => "key-missing",
            Self::NeverFits => "never-fits",
            Self::CallerOverShare => "caller-over-share",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline-passed",
            Self::TimedOut => "timed-out",
            Self::TargetLost => "target-lost",
            Self::OwnerUnavailable => "owner-unavailable",
            Self::StoreUnavailable => "store-unavailable",
            Self::Leaving => "leaving",
            Self::Internal => "internal",
        }
    }

    /// The HTTP status of responses with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::BadHeader | Self::BadDeadline | Self::KeyMissing => 400,
            Self::NotFound | Self::UnknownKind | Self::UnknownJob => 404,
            Self::MethodNotAllowed => 405,
            Self::SlowCaller => 408,
            Self::BodyTooLarge => 413,
            Self::KeyReused | Self::NeverFits => 422,
            Self::CallerOverShare => 429,
            Self::HeadTooLarge => 431,
            Self::Internal => 500,
            Self::TargetLost => 502,
            Self::Overloaded
            | Self::OwnerUnavailable
            | Self::StoreUnavailable
            | Self::Leaving
            | Self::DeadlinePassed => 503,
            Self::TimedOut => 504,
        }
    }

    /// The recommended action for the caller or the operator.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "send a well-formed HTTP/1.1 request",
            Self::BadHeader => "correct the header that the detail names",
            Self::BadDeadline => "set the deadline in milliseconds, within the configured limit",
            Self::NotFound => "use one of the documented paths",
            Self::MethodNotAllowed => "use a method that the Allow header lists",
            Self::UnknownKind => "check the kind's name, or wait until a target announces it",
            Self::UnknownJob => "check the job's identifier; records of finished jobs expire",
            Self::HeadTooLarge => "send fewer or shorter headers",
            Self::BodyTooLarge => "send a smaller body",
            Self::SlowCaller => "send the request without pauses",
            Self::KeyReused => "use a new idempotency key for a different request",
            Self::KeyMissing => "add an Idempotency-Key header",
            Self::NeverFits => "request no more than the capacity of the largest worker",
            Self::CallerOverShare => "retry after the given delay, at a lower rate",
            Self::Overloaded => "retry after the given delay",
            Self::DeadlinePassed => "allow more time, or retry when there is less load",
            Self::TimedOut => "retry only if the request is idempotent",
            Self::TargetLost => "retry only if the request is idempotent",
            Self::OwnerUnavailable => "retry after the given delay with the same idempotency key",
            Self::StoreUnavailable => "retry after the given delay with the same idempotency key",
            Self::Leaving => "retry; the load balancer selects another entry",
            Self::Internal => "report the request identifier to the operators",
        }
    }

    /// Parses a code as returned by [`Code::as_str`].
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.as_str() == text)
    }
}

/// A problem document as defined by RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// A description of the error with the relevant names and values.
    pub detail: String,
    /// The recommended action.
    pub remedy: String,
    /// Seconds to wait before a retry, if a retry can succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_s: Option<u32>,
}

impl Problem {
    /// The media type of the document.
    pub const MEDIA_TYPE: &'static str = "application/problem+json";

    /// Creates a problem for a request that was not executed.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self::new(code, Outcome::NotRun, detail)
    }

    /// Creates a problem for a request that may have been executed.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self::new(code, Outcome::Unknown, detail)
    }

    /// Returns the problem with the advice to wait `seconds` before a retry.
    pub fn retry_after(self, seconds: u32) -> Self {
        Self { retry_after_s: Some(seconds), ..self }
    }

    fn new(code: Code, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            code,
            status: code.status(),
            outcome,
            detail: detail.into(),
            remedy: code.remedy().to_owned(),
            retry_after_s: None,
        }
    }
}

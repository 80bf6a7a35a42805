//! Quick requests and watchers on their way to an agent and back.
//!
//! [`dispatch`] chooses a target, sends the request there and decides what follows a failure.
//! Nothing here is shared between requests but the tables and the idle connections; a connection
//! that was given up is closed, so that no answer reaches another request.

mod attempt;
mod dispatch;
mod flight;
mod payload;
mod relayed;
mod request;

pub use dispatch::dispatch;
pub use payload::Payload;
pub use request::Request;

use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::http;

/// The problem of a caller whose body could not be read; nothing was sent to a target yet.
pub fn caller_problem(error: &http::Error) -> Problem {
    let code = match error {
        http::Error::BodyTooLarge(_) => Code::BodyTooLarge,
        http::Error::Slow => Code::SlowCaller,
        _ => Code::Malformed,
    };
    Problem::not_run(code, error.to_string())
}

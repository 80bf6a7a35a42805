//! Problem documents for failed operations on jobs.

use shallotflow_core::problem::{Code, Problem};
use shallotflow_policy::ledger::Error;

const RETRY_AFTER_S: u32 = 1;

/// Converts a ledger error; the operation changed nothing.
pub(super) fn refused(error: &Error) -> Problem {
    let code = match error {
        Error::NotOwned { .. } => Code::OwnerUnavailable,
        Error::UnknownJob { .. } => Code::UnknownJob,
        Error::KeyReused { .. } => Code::KeyReused,
        Error::Full { .. } => Code::Overloaded,
        Error::CallerFull { .. } => Code::CallerOverShare,
        Error::Damaged { .. } => Code::Internal,
    };
    let problem = Problem::not_run(code, error.to_string());
    match code {
        Code::OwnerUnavailable | Code::Overloaded | Code::CallerOverShare => {
            problem.retry_after(RETRY_AFTER_S)
        }
        _ => problem,
    }
}

/// The store accepts no writes, and the change was not written.
pub(super) fn store_unavailable() -> Problem {
    let detail = "the store accepts no writes at present; the job was not recorded";
    Problem::not_run(Code::StoreUnavailable, detail).retry_after(RETRY_AFTER_S)
}

/// The store did not confirm the write in time.
pub(super) fn unconfirmed() -> Problem {
    let detail = "the store did not confirm the write in time; it may take effect";
    Problem::unknown(Code::StoreUnavailable, detail).retry_after(RETRY_AFTER_S)
}

/// Another entry became the ledger's owner before the write was confirmed.
pub(super) fn superseded() -> Problem {
    let detail = "the ledger passed to another entry during the write; it may take effect";
    Problem::unknown(Code::OwnerUnavailable, detail).retry_after(RETRY_AFTER_S)
}

/// The ledger has no reachable owner.
pub(super) fn no_owner(ledger: u32) -> Problem {
    let detail = format!("ledger {ledger} has no reachable owner at present");
    Problem::not_run(Code::OwnerUnavailable, detail).retry_after(RETRY_AFTER_S)
}

/// The owner received the call, or may have, and gave no valid answer.
pub(super) fn owner_unresponsive(ledger: u32, reason: &str) -> Problem {
    let detail = format!("the owner of ledger {ledger} did not answer ({reason})");
    Problem::unknown(Code::OwnerUnavailable, detail).retry_after(RETRY_AFTER_S)
}

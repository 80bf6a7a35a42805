//! Messages in flight.

use shallotflow_core::name::Name;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger;

/// A message between two processes.
#[derive(Clone, Debug)]
pub(crate) enum Packet {
    /// An agent reports to an entry.
    Report { agent: usize, entry: usize, report: ledger::Report },
    /// An entry replies to a report.
    Reply { agent: usize, entry: usize, incarnation: u64, sequence: u64, reply: ledger::Reply },
    /// An entry sends a request to the store.
    Call { entry: usize, incarnation: u64, call: Call },
    /// The store responds to an entry.
    Answer { entry: usize, incarnation: u64, answer: Answer },
}

/// A request to the store.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Creates the lease with this number, or renews it.
    Renew { lease: u64, sent: Time },
    /// Claims a ledger, or repeats a claim whose response was lost.
    Claim { ledger: u32, lease: u64 },
    /// Writes a segment, or repeats a write whose response was lost.
    Write(ledger::Segment),
}

/// A response of the store.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// The lease is valid, counted from when the request was sent.
    Renewed { lease: u64, sent: Time },
    /// The lease has expired.
    LeaseGone { lease: u64 },
    /// The ledger is claimed under this epoch; the segments were read after the claim.
    Claimed { ledger: u32, lease: u64, epoch: u64, segments: Vec<(u64, String)> },
    /// The segment is in the store.
    Written(ledger::Segment),
    /// The ledger belongs to another owner.
    Deposed { ledger: u32, epoch: u64 },
}

/// A command of an agent to its worker.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Starts a task.
    Start { key: Key, epoch: u64, checkpoint: Option<Name>, deadline: Time },
    /// Extends a lease.
    Renew { key: Key, deadline: Time },
    /// Stops a task, after a checkpoint if requested.
    Stop { key: Key, checkpoint: bool },
    /// Forgets an ended task.
    Acknowledge { key: Key },
}

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
    /// An entry answers a report.
    Reply { agent: usize, entry: usize, incarnation: u64, sequence: u64, reply: ledger::Reply },
    /// An entry calls the store.
    Call { entry: usize, life: u64, call: Call },
    /// The store answers an entry.
    Answer { entry: usize, life: u64, answer: Answer },
}

/// A call of the store.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Takes a lease, or renews the one with this number.
    Renew { lease: u64, sent: Time },
    /// Claims a ledger, or reads back a claim whose answer was lost.
    Claim { ledger: u32, lease: u64 },
    /// Writes a segment, or reads back one whose answer was lost.
    Write(ledger::Segment),
}

/// An answer of the store.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// The lease holds, counted from the sending of the call.
    Renewed { lease: u64, sent: Time },
    /// The lease has ended.
    LeaseGone { lease: u64 },
    /// The ledger is claimed under this epoch; these segments were read afterwards.
    Claimed { ledger: u32, lease: u64, epoch: u64, segments: Vec<(u64, String)> },
    /// The segment is in the store.
    Written(ledger::Segment),
    /// The ledger belongs to another owner.
    Deposed { ledger: u32, epoch: u64 },
}

/// A call of an agent to its worker.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    /// Starts a task.
    Start { key: Key, epoch: u64, checkpoint: Option<Name>, deadline: Time },
    /// Extends a lease.
    Renew { key: Key, deadline: Time },
    /// Stops a task, after a checkpoint if asked for.
    Stop { key: Key, checkpoint: bool },
    /// Forgets an ended task.
    Acknowledge { key: Key },
}

//! Batch jobs: the ledgers that this entry owns, and calls to the owners of the others.
//!
//! - [`Batch`]: the interface that the rest of the entry uses.
//! - [`Service`]: the implementation for an entry with a store. It carries out the decisions of
//!   [`shallotflow_policy::ledger`].

mod claim;
mod convert;
mod meters;
mod problem;
mod remote;
mod service;
mod writer;

pub use service::Service;

use futures_util::future::LocalBoxFuture;
use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::problem::Problem;
use shallotflow_wire::proto;
use std::rc::Rc;

/// The result of an operation on a job.
pub type Result<T> = std::result::Result<T, Problem>;

/// The job that a submission created or found.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's record.
    pub record: Record,
    /// Whether this submission created the job.
    pub created: bool,
}

/// The batch part of the reply to an agent's report.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// Tasks to start; each start is already committed to the store.
    pub grants: Vec<proto::Grant>,
    /// Tasks to stop.
    pub stops: Vec<proto::Stop>,
    /// Tasks whose final phase is committed, so that the agent can forget them.
    pub settled: Vec<proto::TaskKey>,
    /// Ledgers that this entry owns; the report renews the task leases of their tasks.
    pub owned: Vec<proto::LedgerEpoch>,
}

/// The operations on batch jobs.
///
/// `hops` counts the entries that have forwarded the call; a call is forwarded at most once.
pub trait Batch {
    /// Applies an agent's report and returns the decisions for its worker, once they are committed.
    fn report(&self, report: Rc<proto::ReportRequest>) -> LocalBoxFuture<'static, Decision>;

    /// Records a job. Idempotent: a second submission with the same `id` returns the first job.
    fn submit(
        &self,
        id: Name,
        spec: Spec,
        hops: u32,
    ) -> LocalBoxFuture<'static, Result<Submission>>;

    /// Returns the record of a job.
    fn read(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>>;

    /// Cancels a job and returns its record; a job that has ended is unchanged.
    fn cancel(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>>;

    /// Lists at most `limit` jobs of the ledgers that this entry owns, filtered by `state` if
    /// given.
    fn list(&self, state: Option<Name>, limit: usize) -> Vec<Record>;

    /// Returns the state of the ledgers as JSON, for operators.
    fn dump(&self) -> serde_json::Value;
}

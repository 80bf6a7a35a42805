//! Batch jobs at an entry: the ledgers that it owns and the way to those that it does not.
//!
//! - [`Batch`]: batch work as the rest of the entry sees it.
//! - [`Service`]: batch work of an entry that has a store. The decisions are those of
//!   [`shallotflow_policy::ledger`]; the service carries them out.

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

/// A job as it was found or made by a submission.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's record.
    pub record: Record,
    /// Whether this submission made it.
    pub created: bool,
}

/// What a reply to an agent's report says about batch work.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// Tasks to start; each start is committed.
    pub grants: Vec<proto::Grant>,
    /// Tasks to stop.
    pub stops: Vec<proto::Stop>,
    /// Tasks whose last phase is committed.
    pub settled: Vec<proto::TaskKey>,
    /// Ledgers owned here, whose task leases the report renews.
    pub owned: Vec<proto::LedgerEpoch>,
}

/// Batch work as the rest of the entry sees it.
///
/// `hops` counts the entries that a call has crossed; a call crosses at most one.
pub trait Batch {
    /// Takes an agent's report and decides for its worker, after the decisions are committed.
    fn report(&self, report: Rc<proto::ReportRequest>) -> LocalBoxFuture<'static, Decision>;

    /// Records a job once; a second submission with the same `id` finds the first.
    fn submit(
        &self,
        id: Name,
        spec: Spec,
        hops: u32,
    ) -> LocalBoxFuture<'static, Result<Submission>>;

    /// The record of a job.
    fn read(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>>;

    /// Cancels a job; a job that has ended stays as it is.
    fn cancel(&self, id: Name, hops: u32) -> LocalBoxFuture<'static, Result<Record>>;

    /// Jobs of the ledgers owned here, in `state` if one is given, at most `limit`.
    fn list(&self, state: Option<Name>, limit: usize) -> Vec<Record>;

    /// The state of the ledgers, for operators.
    fn dump(&self) -> serde_json::Value;
}

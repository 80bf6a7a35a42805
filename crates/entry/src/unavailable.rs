//! Batch work of an entry without a store: every operation is refused as not run.

use crate::batch::{Batch, Decision, Result, Submission};
use futures_util::future::LocalBoxFuture;
use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::proto;
use std::rc::Rc;

const RETRY_AFTER_S: u32 = 5;

/// Refuses batch work because no store is configured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unavailable;

impl Batch for Unavailable {
    fn report(&self, _: Rc<proto::ReportRequest>) -> LocalBoxFuture<'static, Decision> {
        Box::pin(async { Decision::default() })
    }

    fn submit(&self, id: Name, _: Spec, _: u32) -> LocalBoxFuture<'static, Result<Submission>> {
        Box::pin(async move { Err(problem(&id)) })
    }

    fn read(&self, id: Name, _: u32) -> LocalBoxFuture<'static, Result<Record>> {
        Box::pin(async move { Err(problem(&id)) })
    }

    fn cancel(&self, id: Name, _: u32) -> LocalBoxFuture<'static, Result<Record>> {
        Box::pin(async move { Err(problem(&id)) })
    }

    fn list(&self, _: Option<Name>, _: usize) -> Vec<Record> {
        Vec::new()
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}

fn problem(id: &Name) -> Problem {
    let detail = format!("job {id:?} cannot be handled: this entry has no store configured");
    Problem::not_run(Code::StoreUnavailable, detail).retry_after(RETRY_AFTER_S)
}

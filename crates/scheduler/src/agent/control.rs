use super::Lists;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// Why a worker did not do what it was told.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", content = "detail")]
pub enum Error {
    /// It obeys a later owner.
    #[error("the worker obeys a later owner; report to that one")]
    Fenced,
    /// It knows this run of the task or a later one.
    #[error("the worker knows this run or a later one; order a higher number")]
    Old,
    /// The lease had ended before the call came.
    #[error("the lease had ended when the call came; renew it first")]
    Late,
    /// It has no room.
    #[error("the worker has no room for the task; place it elsewhere")]
    NoRoom,
    /// It is not healthy, and did nothing.
    #[error("the worker is not healthy; place the task elsewhere")]
    Unhealthy,
    /// Another life of the worker answers at this address.
    #[error("the worker has started again; read its lists anew")]
    #[serde(rename = "other-lifetime")]
    OtherIncarnation,
    /// It cannot read the call, or refuses it for another reason.
    #[error("the worker refuses the call ({0}); mend the order")]
    Refused(String),
    /// No connection could be made; nothing was done.
    #[error("the worker accepts no connections; wait until it registers again")]
    Unreachable,
    /// No worker runs at the address; nothing was done, and nothing runs there.
    #[error("no worker runs at its address; wait until one registers")]
    Vacant,
    /// No answer came; the call may have been carried out, or may be carried out later.
    #[error("the worker's answer was lost ({0}); repeat or withdraw the order")]
    Unknown(String),
}

/// The result of a call to a worker.
pub type Result<T> = std::result::Result<T, Error>;

/// A start, as the worker takes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The text of the job.
    pub text: Arc<str>,
    /// Where to go on.
    pub checkpoint: Option<Name>,
    /// The end of the lease, milliseconds on the worker's clock.
    pub lease_ms: u64,
    /// The owner's number.
    pub epoch: u64,
}

/// The calls that a worker takes.
#[async_trait(?Send)]
pub trait Control {
    /// Starts a run; a run that is there already is no error. Returns the worker's clock,
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// Every error but `Unknown` means that the call did nothing.
    async fn start(&self, lifetime: &Incarnation, start: &Start, limit: Duration) -> Result<u64>;

    /// Ends a run, and keeps it from starting later.
    ///
    /// # Errors
    ///
    /// Every error but `Unknown` means that the call did nothing.
    async fn stop(
        &self,
        lifetime: &Incarnation,
        task: Task,
        run: u32,
        epoch: u64,
        limit: Duration,
    ) -> Result<u64>;

    /// Lets a run work at a share of its speed, percent.
    ///
    /// # Errors
    ///
    /// Every error but `Unknown` means that the call did nothing.
    async fn pace(
        &self,
        lifetime: &Incarnation,
        task: Task,
        run: u32,
        percent: u8,
        epoch: u64,
        limit: Duration,
    ) -> Result<u64>;

    /// Renews the lease of all runs up to `lease_ms` on the worker's clock, lets the worker forget
    /// ends up to `recorded`, and reads its lists; the answer waits up to `wait` for an end.
    ///
    /// # Errors
    ///
    /// Every error but `Unknown` means that the call did nothing.
    async fn poll(
        &self,
        lifetime: Option<&Incarnation>,
        lease_ms: Option<u64>,
        recorded: u64,
        epoch: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<Lists>;
}

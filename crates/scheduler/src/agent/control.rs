use super::Lists;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::Fence;
use shallotflow_policy::plan::message::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// The reason why a worker did not carry out a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", content = "detail")]
pub enum Error {
    /// The worker obeys a later owner, or the call was sent before its present incarnation was known.
    #[error("the worker obeys a later owner; report to that one")]
    Fenced,
    /// The worker already knows this run of the task or a later one.
    #[error("the worker knows this run or a later one; order a higher number")]
    Old,
    /// The lease had ended before the call arrived.
    #[error("the lease had ended when the call arrived; renew it first")]
    Late,
    /// The worker has no room for the task.
    #[error("the worker has no room for the task; place it elsewhere")]
    NoRoom,
    /// The worker is unhealthy and did nothing.
    #[error("the worker is not healthy; place the task elsewhere")]
    Unhealthy,
    /// Another incarnation of the worker answers at this address.
    #[error("the worker has restarted; read its lists again")]
    #[serde(rename = "other-lifetime")]
    OtherIncarnation,
    /// The worker cannot read the call or refuses it for another reason.
    #[error("the worker refuses the call ({0}); correct the order")]
    Refused(String),
    /// No connection could be made; nothing was done.
    #[error("the worker accepts no connections; wait until it registers again")]
    Unreachable,
    /// No worker runs at the address; nothing was done, and nothing runs there.
    #[error("no worker runs at its address; wait until one registers")]
    Vacant,
    /// No answer arrived; the call may have been carried out, or may be carried out later.
    #[error("the worker's answer was lost ({0}); repeat or withdraw the order")]
    Unknown(String),
}

/// The result of a call to a worker.
pub type Result<T> = std::result::Result<T, Error>;

/// The parameters of a start call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The text of the job's specification.
    pub text: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// The end of the lease, in milliseconds on the worker's clock.
    pub lease_ms: u64,
    /// The owner's epoch.
    pub epoch: u64,
}

/// The calls that a worker serves. It carries out none whose fence is lower than the highest that it has seen.
#[async_trait(?Send)]
pub trait Control {
    /// Starts a run; the call is idempotent. Returns the worker's clock in milliseconds.
    ///
    /// # Errors
    ///
    /// Every error except `Unknown` means that the call had no effect.
    async fn start(
        &self,
        incarnation: &Incarnation,
        start: &Start,
        fence: Fence,
        timeout: Duration,
    ) -> Result<u64>;

    /// Stops a run and prevents a later start of it. Returns the worker's clock in milliseconds.
    ///
    /// # Errors
    ///
    /// Every error except `Unknown` means that the call had no effect.
    async fn stop(
        &self,
        incarnation: &Incarnation,
        task: Task,
        run: u32,
        fence: Fence,
        timeout: Duration,
    ) -> Result<u64>;

    /// Sets the pace of a run, in percent of its full speed. Returns the worker's clock in
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// Every error except `Unknown` means that the call had no effect.
    async fn pace(
        &self,
        incarnation: &Incarnation,
        task: Task,
        run: u32,
        percent: u8,
        fence: Fence,
        timeout: Duration,
    ) -> Result<u64>;

    /// Renews the lease of all runs up to `lease_ms` on the worker's clock, lets the worker forget
    /// ends up to number `recorded`, and reads its lists. The worker holds the answer back for up
    /// to `wait`, until a run ends.
    ///
    /// # Errors
    ///
    /// Every error except `Unknown` means that the call had no effect.
    async fn poll(
        &self,
        incarnation: Option<&Incarnation>,
        lease_ms: Option<u64>,
        recorded: u64,
        fence: Fence,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Lists>;
}

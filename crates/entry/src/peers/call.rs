//! A call that is posted to the entry's event loop.

use super::{jobs, report, targets};
use crate::state::State;
use futures_channel::oneshot::Sender;
use shallotflow_wire::proto;
use std::rc::Rc;
use tonic::Status;

/// The result of a call.
pub(super) type Result<T> = std::result::Result<T, Status>;

/// A call with the channel for its reply.
pub(super) enum Call {
    Report(Box<proto::ReportRequest>, Sender<Result<proto::ReportReply>>),
    FetchConfig(proto::ConfigRequest, Sender<Result<proto::ConfigReply>>),
    SubmitJob(proto::SubmitRequest, Sender<Result<proto::JobReply>>),
    ReadJob(proto::JobRequest, Sender<Result<proto::JobReply>>),
    CancelJob(proto::JobRequest, Sender<Result<proto::JobReply>>),
    ListJobs(proto::ListRequest, Sender<Result<proto::ListReply>>),
    ListTargets(proto::TargetsRequest, Sender<Result<proto::TargetsReply>>),
}

impl Call {
    /// Handles the call and sends the reply; ignores a peer that has gone away.
    pub(super) async fn answer(self, state: Rc<State>) {
        match self {
            Self::Report(request, to) => drop(to.send(report::handle(&state, *request).await)),
            Self::FetchConfig(request, to) => drop(to.send(Ok(report::config(&state, &request)))),
            Self::SubmitJob(request, to) => drop(to.send(jobs::submit(&state, request).await)),
            Self::ReadJob(request, to) => drop(to.send(jobs::read(&state, request).await)),
            Self::CancelJob(request, to) => drop(to.send(jobs::cancel(&state, request).await)),
            Self::ListJobs(request, to) => drop(to.send(jobs::list(&state, request))),
            Self::ListTargets(request, to) => drop(to.send(Ok(targets::list(&state, &request)))),
        }
    }
}

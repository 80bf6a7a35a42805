//! Implements the generated service trait by posting calls.

use super::call::{Call, Result};
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_server::Scheduler;
use tonic::{Request, Response, Status};

/// Posts calls to the entry's event loop.
pub struct Service {
    calls: UnboundedSender<Call>,
}

impl Service {
    pub(super) fn new(calls: UnboundedSender<Call>) -> Self {
        Self { calls }
    }

    async fn post<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T>>) -> Call,
    ) -> Result<Response<T>> {
        let (sender, receiver) = oneshot::channel();
        let stopped = || Status::unavailable("this entry is stopping; call another one");
        self.calls.unbounded_send(call(sender)).map_err(|_| stopped())?;
        let answer = receiver.await.map_err(|_| stopped())?;
        answer.map(Response::new)
    }
}

#[tonic::async_trait]
impl Scheduler for Service {
    async fn report(
        &self,
        request: Request<proto::ReportRequest>,
    ) -> Result<Response<proto::ReportReply>> {
        self.post(|sender| Call::Report(Box::new(request.into_inner()), sender)).await
    }

    async fn fetch_config(
        &self,
        request: Request<proto::ConfigRequest>,
    ) -> Result<Response<proto::ConfigReply>> {
        self.post(|sender| Call::FetchConfig(request.into_inner(), sender)).await
    }

    async fn submit_job(
        &self,
        request: Request<proto::SubmitRequest>,
    ) -> Result<Response<proto::JobReply>> {
        self.post(|sender| Call::SubmitJob(request.into_inner(), sender)).await
    }

    async fn read_job(
        &self,
        request: Request<proto::JobRequest>,
    ) -> Result<Response<proto::JobReply>> {
        self.post(|sender| Call::ReadJob(request.into_inner(), sender)).await
    }

    async fn cancel_job(
        &self,
        request: Request<proto::JobRequest>,
    ) -> Result<Response<proto::JobReply>> {
        self.post(|sender| Call::CancelJob(request.into_inner(), sender)).await
    }

    async fn list_jobs(
        &self,
        request: Request<proto::ListRequest>,
    ) -> Result<Response<proto::ListReply>> {
        self.post(|sender| Call::ListJobs(request.into_inner(), sender)).await
    }

    async fn list_targets(
        &self,
        request: Request<proto::TargetsRequest>,
    ) -> Result<Response<proto::TargetsReply>> {
        self.post(|sender| Call::ListTargets(request.into_inner(), sender)).await
    }
}

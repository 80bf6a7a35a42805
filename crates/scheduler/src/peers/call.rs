use super::{Request, Response};
use futures_channel::oneshot;
use shallotflow_policy::plan::message::{Reply, Report};

/// A received call, on its way to the process's loop.
#[derive(Debug)]
pub enum Call {
    /// An agent's report.
    Report(Box<Report>, oneshot::Sender<Reply>),
    /// Another entry's request.
    Ask(Box<Request>, oneshot::Sender<Response>),
}

use super::{Answer, Question};
use futures_channel::oneshot;
use shallotflow_policy::plan::message::{Reply, Report};

/// A call on its way to the loop of the process.
#[derive(Debug)]
pub enum Call {
    /// An agent's report.
    Report(Box<Report>, oneshot::Sender<Reply>),
    /// An entry's question.
    Ask(Box<Question>, oneshot::Sender<Answer>),
}

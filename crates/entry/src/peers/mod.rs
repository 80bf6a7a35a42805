//! The `tonic` service for agents and other entries.
//!
//! Generated services want futures that may change threads, while the tables stay on one. The
//! service therefore posts each call to the entry's own loop and awaits the answer.

mod call;
mod jobs;
mod report;
mod service;
mod targets;

pub use service::Service;

use crate::state::State;
use call::Call;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use std::rc::Rc;

/// The service and the calls that it posts.
pub fn channel() -> (Service, Calls) {
    let (sender, receiver) = unbounded();
    (Service::new(sender), Calls(receiver))
}

/// Calls that wait for the entry's loop.
pub struct Calls(UnboundedReceiver<Call>);

impl Calls {
    /// Answers calls until the service is gone.
    pub async fn run(mut self, state: Rc<State>) {
        while let Some(call) = self.0.next().await {
            monoio::spawn(call.answer(state.clone()));
        }
    }
}

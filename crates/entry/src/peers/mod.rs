//! The `tonic` service for agents and other entries.
//!
//! Generated services require `Send` futures, while the tables are confined to one thread. The
//! service therefore posts each call to the entry's event loop and awaits the reply.

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

/// Creates the service and the queue of calls that it posts.
pub fn channel() -> (Service, Calls) {
    let (sender, receiver) = unbounded();
    (Service::new(sender), Calls(receiver))
}

/// Calls that wait for the entry's event loop.
pub struct Calls(UnboundedReceiver<Call>);

impl Calls {
    /// Handles calls until the service is dropped.
    pub async fn run(mut self, state: Rc<State>) {
        while let Some(call) = self.0.next().await {
            monoio::spawn(call.answer(state.clone()));
        }
    }
}

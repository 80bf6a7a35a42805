//! Watches over a gRPC stream.

use super::convert;
use crate::error::{Error, Result};
use crate::proto::etcdserverpb as rpc;
use crate::watch::{Update, Watch};
use async_trait::async_trait;
use futures_util::StreamExt;
use rpc::watch_request::RequestUnion;

/// A watch that reads from one gRPC stream.
pub(super) struct Stream {
    messages: tonic::Streaming<rpc::WatchResponse>,
    next_revision: i64,
}

impl Stream {
    /// Creates a watch that skips changes before `next_revision`.
    pub(super) fn new(messages: tonic::Streaming<rpc::WatchResponse>, next_revision: i64) -> Self {
        Self { messages, next_revision }
    }

    fn process(&mut self, message: rpc::WatchResponse) -> Result<Option<Update>> {
        if message.compact_revision > 0 {
            return Err(Error::Compacted { oldest: message.compact_revision });
        }
        if message.canceled {
            return Err(Error::Unavailable { reason: message.cancel_reason });
        }
        if message.created && message.events.is_empty() {
            return Ok(None);
        }
        let revision = convert::revision(message.header.as_ref());
        let changes: Vec<_> = message
            .events
            .into_iter()
            .filter_map(convert::change)
            .filter(|(revision, _)| *revision >= self.next_revision)
            .map(|(_, change)| change)
            .collect();
        self.next_revision = self.next_revision.max(revision + 1);
        Ok(Some(Update { changes, revision }))
    }
}

#[async_trait(?Send)]
impl Watch for Stream {
    async fn next(&mut self) -> Result<Update> {
        loop {
            let message = match self.messages.next().await {
                Some(Ok(message)) => message,
                Some(Err(status)) => {
                    return Err(Error::Unavailable { reason: status.message().to_owned() });
                }
                None => {
                    return Err(Error::Unavailable { reason: "the watch ended".to_owned() });
                }
            };
            if let Some(update) = self.process(message)? {
                return Ok(update);
            }
        }
    }
}

/// The requests of one watch: its creation, followed by a pending stream, which keeps the watch
/// open.
pub(super) fn requests(
    create: rpc::WatchCreateRequest,
) -> impl futures_util::Stream<Item = rpc::WatchRequest> + Send + 'static {
    let request = rpc::WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) };
    futures_util::stream::iter([request]).chain(futures_util::stream::pending())
}

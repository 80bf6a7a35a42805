//! A caller's body that is streamed to the target.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::{Body, Source};
use std::cell::Cell;
use std::rc::Rc;

/// The caller's body. Sets `aborted` if reading from the caller fails, to distinguish that from a
/// failure of the target.
pub(super) struct Upload {
    pub(super) body: Body,
    pub(super) aborted: Rc<Cell<bool>>,
}

impl Upload {
    async fn next_chunk(&mut self) -> Option<Result<Bytes>> {
        let chunk = self.body.next().await;
        if matches!(chunk, Some(Err(_))) {
            self.aborted.set(true);
        }
        chunk
    }
}

impl Source for Upload {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>> {
        Box::pin(self.next_chunk())
    }

    fn length(&self) -> Option<u64> {
        self.body.length()
    }
}

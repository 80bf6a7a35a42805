//! A caller's body that is passed on while it is received.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use shallotflow_wire::http::Result;
use shallotflow_wire::http::body::{Body, Source};
use std::cell::Cell;
use std::rc::Rc;

/// Notes whether the caller, and not the target, broke off.
pub(super) struct Upload {
    pub(super) body: Body,
    pub(super) broken: Rc<Cell<bool>>,
}

impl Upload {
    async fn piece(&mut self) -> Option<Result<Bytes>> {
        let piece = self.body.next().await;
        if matches!(piece, Some(Err(_))) {
            self.broken.set(true);
        }
        piece
    }
}

impl Source for Upload {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes>>> {
        Box::pin(self.piece())
    }

    fn length(&self) -> Option<u64> {
        self.body.length()
    }
}

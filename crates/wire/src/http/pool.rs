//! Idle connections kept for reuse, by address.

use super::body::Body;
use super::client::Connection;
use super::limits::Limits;
use super::{Error, Result};
use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use http::{Request, Response};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle connections to many addresses; clones share them.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Parked>>>>,
    limits: Rc<Limits>,
    connect: Duration,
    per_address: usize,
}

struct Parked {
    connection: Connection,
    expires: Instant,
}

impl Pool {
    /// A pool whose connections are made within `connect` and kept up to `per_address` each.
    pub fn new(limits: Limits, connect: Duration, per_address: usize) -> Self {
        let limits = Rc::new(limits);
        Self { idle: Rc::new(RefCell::new(HashMap::new())), limits, connect, per_address }
    }

    /// An idle connection to `address`, or a new one.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::Refused`] when no connection could be made; nothing was sent
    /// then.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection> {
        while let Some(parked) = self.pop(address) {
            let mut connection = parked.connection;
            if Instant::now() < parked.expires && !connection.is_stale() {
                return Ok(connection);
            }
        }
        Connection::open(address, self.limits.clone(), self.connect).await
    }

    /// Keeps `connection` for reuse, if it can be reused.
    pub fn give_back(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let parked = idle.entry(address).or_default();
        if parked.len() < self.per_address {
            parked.push(Parked { connection, expires: Instant::now() + self.limits.idle });
        }
    }

    /// Sends `request` to `address` and reads the whole response, whose body has at most `most`
    /// bytes.
    ///
    /// # Errors
    ///
    /// [`Pool::not_sent`] says whether the peer may have received the request.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        most: usize,
    ) -> Result<Response<Bytes>> {
        let mut connection = self.take(address).await?;
        let (head, body) = connection.send(request).await?.into_parts();
        let body = body.collect(most).await?;
        self.give_back(address, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Connections kept at present.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether `error` was met before anything was sent.
    pub fn not_sent(error: &Error) -> bool {
        matches!(error, Error::Connect(_) | Error::Refused(_))
    }

    fn pop(&self, address: SocketAddr) -> Option<Parked> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}

//! Idle connections kept for reuse, by address.

use super::body::Body;
use super::client::Connection;
use super::limits::Limits;
use super::{Error, Result};
use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use http::{Request, Response};
use monoio::time::timeout;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A pool of idle connections to any number of addresses; clones share it.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
    limits: Rc<Limits>,
    connect: Duration,
    per_address: usize,
}

struct Idle {
    connection: Connection,
    expires: Instant,
}

impl Pool {
    /// Creates a pool that connects within `connect` and keeps up to `per_address` idle connections
    /// to each address.
    pub fn new(limits: Limits, connect: Duration, per_address: usize) -> Self {
        let limits = Rc::new(limits);
        Self { idle: Rc::new(RefCell::new(HashMap::new())), limits, connect, per_address }
    }

    /// Takes an idle connection to `address`, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] or [`Error::Refused`] if no connection could be made; nothing
    /// was sent then.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection> {
        while let Some(idle) = self.pop(address) {
            let mut connection = idle.connection;
            if Instant::now() < idle.expires && !connection.is_stale() {
                return Ok(connection);
            }
        }
        Connection::open(address, self.limits.clone(), self.connect).await
    }

    /// Returns `connection` to the pool if it can be reused; otherwise closes it.
    pub fn give_back(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.per_address {
            connections.push(Idle { connection, expires: Instant::now() + self.limits.idle });
        }
    }

    /// Sends `request` to `address` and reads the whole response, with a body of at most
    /// `body_limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the exchange breaks off or the body is too large; [`Pool::not_sent`] returns
    /// whether the error occurred before anything was sent.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        body_limit: usize,
    ) -> Result<Response<Bytes>> {
        let mut connection = self.take(address).await?;
        let (head, body) = connection.send(request).await?.into_parts();
        let body = body.collect(body_limit).await?;
        self.give_back(address, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Like [`Pool::exchange`], but gives up after `limit`.
    ///
    /// A connection that went silent shows only by a missing answer, and what silences one may have
    /// silenced all. So the idle connections to `address` are closed then, and later exchanges open
    /// new ones.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Timeout`] after `limit`, otherwise like [`Pool::exchange`].
    pub async fn exchange_within(
        &self,
        limit: Duration,
        address: SocketAddr,
        request: Request<Body>,
        body_limit: usize,
    ) -> Result<Response<Bytes>> {
        match timeout(limit, self.exchange(address, request, body_limit)).await {
            Ok(result) => result,
            Err(_) => {
                self.close_idle(address);
                Err(Error::Timeout(limit.as_millis()))
            }
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether `error` occurred before anything was sent.
    pub fn not_sent(error: &Error) -> bool {
        matches!(error, Error::Connect(_) | Error::Refused(_))
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}

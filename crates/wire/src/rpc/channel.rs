//! A client channel that connects on demand and reconnects after a failure.

use super::{Error, Result};
use hyper::client::conn::http2::SendRequest;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::{MonoioExecutor, MonoioIo, MonoioTimer};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::body::Body;

/// Time without a frame after which a connection with calls in progress is probed; watches, which have
/// no timeout of their own, depend on it.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered probe ends the connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A lazily connected client channel to one address; clones share the connection.
#[derive(Clone)]
pub struct Channel {
    address: SocketAddr,
    sender: Rc<RefCell<Option<SendRequest<Body>>>>,
}

impl Channel {
    /// Creates a channel to `address`, which connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, sender: Rc::default() }
    }

    /// The address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The origin to pass to generated clients.
    pub fn origin(&self) -> http::Uri {
        http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query("/")
            .build()
            .expect("a socket address is a valid authority")
    }

    /// Drops the connection, so that late replies are discarded.
    pub fn reset(&self) {
        self.sender.borrow_mut().take();
    }

    async fn sender(&self) -> Result<SendRequest<Body>> {
        let open = self.sender.borrow().as_ref().filter(|sender| !sender.is_closed()).cloned();
        if let Some(sender) = open {
            return Ok(sender);
        }
        let sender = connect(self.address).await?;
        *self.sender.borrow_mut() = Some(sender.clone());
        Ok(sender)
    }

    async fn send(self, request: http::Request<Body>) -> Result<http::Response<Body>> {
        let mut sender = self.sender().await?;
        let address = self.address;
        let broken_error = |source| Error::Broken { address, source };
        sender.ready().await.map_err(broken_error)?;
        let response = sender.send_request(request).await.map_err(broken_error)?;
        Ok(response.map(Body::new))
    }
}

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Body>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.clone().send(request))
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>> {
    let connect_error = |source| Error::Connect { address, source };
    let stream = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| connect_error(std::io::ErrorKind::TimedOut.into()))?
        .map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let io = MonoioIo::new(stream.into_poll_io().map_err(connect_error)?);
    let (sender, connection) = hyper::client::conn::http2::Builder::new(MonoioExecutor)
        .timer(MonoioTimer)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .handshake(io)
        .await
        .map_err(|source| Error::Broken { address, source })?;
    monoio::spawn(async move {
        // The error is ignored: the next call finds the sender closed and reconnects.
        let _ = connection.await;
    });
    Ok(sender)
}

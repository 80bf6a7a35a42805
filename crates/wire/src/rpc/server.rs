//! Serves a generated service on a listener.

use event_listener::Event;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioExecutor, MonoioIo, MonoioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tonic::body::Body;
use tower_service::Service;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Time after which a silent connection is probed, and after which an unanswered probe ends it. Longer
/// than a peer is usually paused, so that its connections outlast that.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// Accepts connections and serves `service` on them until `stop` is notified.
///
/// Connections that are open at that time finish their calls in progress and close.
pub async fn serve<S>(listener: TcpListener, service: S, stop: Rc<Event>)
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible> + Clone + 'static,
    S::Future: 'static,
{
    serve_within(listener, service, stop, MAX_SILENCE).await;
}

/// Like [`serve`], but closes connections on which nothing arrives for twice `silence`, not even the
/// answer to a ping.
pub async fn serve_within<S>(listener: TcpListener, service: S, stop: Rc<Event>, silence: Duration)
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible> + Clone + 'static,
    S::Future: 'static,
{
    let stopped = stop.listen();
    let accepting = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // For example out of file descriptors: waits instead of retrying in a busy loop.
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            monoio::spawn(connection(stream, service.clone(), stop.clone(), silence));
        }
    };
    monoio::select! {
        _ = stopped => {}
        () = accepting => {}
    }
}

async fn connection<S>(stream: TcpStream, service: S, stop: Rc<Event>, silence: Duration)
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible> + Clone + 'static,
    S::Future: 'static,
{
    let stopped = stop.listen();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else { return };
    let handler = service_fn(move |request: Request<Incoming>| {
        let mut service = service.clone();
        service.call(request.map(Body::new))
    });
    let mut connection = std::pin::pin!(
        hyper::server::conn::http2::Builder::new(MonoioExecutor)
            .timer(MonoioTimer)
            .keep_alive_interval(silence)
            .keep_alive_timeout(silence)
            .serve_connection(MonoioIo::new(stream), handler)
    );
    monoio::select! {
        _ = stopped => {}
        _ = connection.as_mut() => { return }
    }
    connection.as_mut().graceful_shutdown();
    // Ignored: a peer that breaks the connection here reports its own error.
    let _ = connection.await;
}

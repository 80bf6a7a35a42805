use super::Link;
use super::link::Way;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 * 1024;

/// Passes every connection on to `target`, as `link` allows, for ever.
pub async fn serve(listener: TcpListener, target: SocketAddr, link: Link) {
    loop {
        // A connection that breaks while it is accepted concerns nobody else.
        let Ok((near, _)) = listener.accept().await else { continue };
        monoio::spawn(connection(near, target, link.clone()));
    }
}

async fn connection(near: TcpStream, target: SocketAddr, link: Link) {
    // The opening packet of a connection is lost with the way there.
    hold(&link, Way::There).await;
    let Ok(far) = TcpStream::connect(target).await else { return };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    monoio::select! {
        () = pass(near_read, far_write, &link, Way::There) => {}
        () = pass(far_read, near_write, &link, Way::Back) => {}
        () = reset(&link) => {}
    }
}

/// Returns once the open connections are to be broken.
async fn reset(link: &Link) {
    let known = link.resets();
    loop {
        let changed = link.listen();
        if link.resets() != known {
            return;
        }
        changed.await;
    }
}

/// Waits while the bytes of `way` are held back.
async fn hold(link: &Link, way: Way) {
    loop {
        let changed = link.listen();
        if !link.is_silent(way) {
            return;
        }
        changed.await;
    }
}

/// Passes bytes on until either side closes.
async fn pass(mut from: impl AsyncReadRent, mut to: impl AsyncWriteRentExt, link: &Link, way: Way) {
    loop {
        let (read, bytes) = from.read(Vec::with_capacity(CHUNK)).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        let delay = link.delay();
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        hold(link, way).await;
        let (written, _) = to.write_all(bytes).await;
        if written.is_err() {
            return;
        }
    }
}

use super::Link;
use super::link::Direction;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;

/// Maximum number of bytes that are relayed at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Relays every connection to `target` with the faults of `link`; never returns.
pub async fn serve(listener: TcpListener, target: SocketAddr, link: Link) {
    loop {
        // An error on one connection must not affect the others.
        let Ok((client, _)) = listener.accept().await else { continue };
        monoio::spawn(connection(client, target, link.clone()));
    }
}

async fn connection(client: TcpStream, target: SocketAddr, link: Link) {
    // The opening packet of a connection is lost too while the forward direction is silent.
    wait_while_silent(&link, Direction::Forward).await;
    let Ok(server) = TcpStream::connect(target).await else { return };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    monoio::select! {
        () = relay(client_read, server_write, &link, Direction::Forward) => {}
        () = relay(server_read, client_write, &link, Direction::Backward) => {}
        () = wait_for_reset(&link) => {}
    }
}

/// Returns when the link is reset.
async fn wait_for_reset(link: &Link) {
    let known = link.resets();
    loop {
        let changed = link.listen();
        if link.resets() != known {
            return;
        }
        changed.await;
    }
}

/// Waits while the link is silent in `direction`.
async fn wait_while_silent(link: &Link, direction: Direction) {
    loop {
        let changed = link.listen();
        if !link.is_silent(direction) {
            return;
        }
        changed.await;
    }
}

/// Relays bytes until either side closes.
async fn relay(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    link: &Link,
    direction: Direction,
) {
    loop {
        let (read, bytes) = from.read(Vec::with_capacity(CHUNK_BYTES)).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        let delay = link.delay();
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        wait_while_silent(link, direction).await;
        let (written, _) = to.write_all(bytes).await;
        if written.is_err() {
            return;
        }
    }
}

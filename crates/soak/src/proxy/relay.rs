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
    let losses = link.losses();
    let both = async {
        let forward = relay(client_read, server_write, &link, Direction::Forward, losses);
        let backward = relay(server_read, client_write, &link, Direction::Backward, losses);
        let (mut forward, mut backward) = (std::pin::pin!(forward), std::pin::pin!(backward));
        monoio::select! {
            () = forward.as_mut() => {
                // Neither side learns that the other one has closed a lost connection.
                if link.losses() != losses {
                    backward.await;
                }
            }
            () = backward.as_mut() => {
                if link.losses() != losses {
                    forward.await;
                }
            }
        }
    };
    monoio::select! {
        () = both => {}
        () = wait_for_reset(&link, losses) => {}
    }
}

/// Returns when the link is reset, unless the connection is lost.
async fn wait_for_reset(link: &Link, losses: u64) {
    let known = link.resets();
    loop {
        let changed = link.listen();
        if link.losses() != losses {
            return std::future::pending().await;
        }
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

/// Relays bytes until either side closes, and discards them once the link has lost connections since
/// `losses` was read.
async fn relay(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    link: &Link,
    direction: Direction,
    losses: u64,
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
        if link.losses() != losses {
            continue;
        }
        let (written, _) = to.write_all(bytes).await;
        if written.is_err() {
            return;
        }
    }
}

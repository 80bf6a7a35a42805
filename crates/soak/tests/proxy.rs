//! The faults that the proxy puts on connections.

use futures_util::FutureExt;
use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use shallotflow_runtime::executor;
use shallotflow_soak::proxy::{self, Link};

/// Returns every byte to its sender.
async fn echo(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        monoio::spawn(async move {
            while let (Ok(1..), bytes) = stream.read(Vec::with_capacity(8)).await {
                stream.write_all(bytes).await.0.expect("an open connection");
            }
        });
    }
}

async fn echoes(stream: &mut TcpStream) {
    stream.write_all(&b"1"[..]).await.0.expect("an open connection");
    stream.read_exact(vec![0; 1]).await.0.expect("the byte comes back");
}

#[test]
fn open_connections_are_lost_for_good_and_later_ones_work() {
    executor::run(async {
        let (target, listener) = (
            TcpListener::bind("127.0.0.1:0").expect("a free port"),
            TcpListener::bind("127.0.0.1:0").expect("a free port"),
        );
        let address = listener.local_addr().expect("a bound address");
        let link = Link::default();
        let to = target.local_addr().expect("a bound address");
        monoio::spawn(echo(target));
        monoio::spawn(proxy::serve(listener, to, link.clone()));
        let mut open = TcpStream::connect(address).await.expect("a connection");
        echoes(&mut open).await;
        link.lose_open();
        open.write_all(&b"1"[..]).await.0.expect("no reset");
        let mut later = TcpStream::connect(address).await.expect("a connection");
        echoes(&mut later).await;
        // A reset does not reach the lost connection either.
        link.reset();
        assert_eq!(later.read(vec![0; 1]).await.0.unwrap_or(0), 0, "the later one is reset");
        assert!(open.read(vec![0; 1]).now_or_never().is_none(), "neither bytes nor an end");
    })
    .expect("a runtime");
}

use super::{Call, MAX_MESSAGE_BYTES, Service};
use crate::proto::peers_server::PeersServer;
use event_listener::Event;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use monoio::net::TcpListener;
use shallotflow_wire::rpc;
use std::rc::Rc;

/// Serves calls on `listener` until `stop` is notified; returns the receiver of the calls.
pub fn serve(listener: TcpListener, stop: Rc<Event>) -> UnboundedReceiver<Call> {
    let (sender, calls) = unbounded();
    let server = PeersServer::new(Service::new(sender))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    monoio::spawn(rpc::serve(listener, server, stop));
    calls
}

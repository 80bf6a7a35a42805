use super::{Call, Service};
use crate::proto::peers_server::PeersServer;
use event_listener::Event;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use monoio::net::TcpListener;
use shallotflow_wire::rpc;
use std::rc::Rc;

/// Serves calls on `listener` until `stop` is notified; returns the receiver of the calls.
pub fn serve(listener: TcpListener, stop: Rc<Event>) -> UnboundedReceiver<Call> {
    let (sender, calls) = unbounded();
    monoio::spawn(rpc::serve(listener, PeersServer::new(Service::new(sender)), stop));
    calls
}

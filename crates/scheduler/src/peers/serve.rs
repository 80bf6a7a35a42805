use super::{Call, Service};
use crate::proto::peers_server::PeersServer;
use event_listener::Event;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use monoio::net::TcpListener;
use shallotflow_wire::rpc;
use std::rc::Rc;

/// Takes calls on `listener` until `stop` is notified; the receiver gets them.
pub fn serve(listener: TcpListener, stop: Rc<Event>) -> UnboundedReceiver<Call> {
    let (sender, calls) = unbounded();
    monoio::spawn(rpc::serve(listener, PeersServer::new(Service::new(sender)), stop));
    calls
}

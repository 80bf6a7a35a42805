use super::{Error, MAX_MESSAGE_BYTES, Request, Response, Result, pack, unpack};
use crate::proto::Packet;
use crate::proto::peers_client::PeersClient;
use shallotflow_policy::plan::message::{Reply, Report};
use shallotflow_wire::rpc::Channel;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls one peer; clones share the connection.
#[derive(Clone)]
pub struct Client {
    channel: Channel,
}

impl Client {
    /// Creates a client of the peer at `address`; it connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { channel: Channel::new(address) }
    }

    /// The address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.channel.address()
    }

    /// Sends an agent's report to an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer within `timeout`; the connection is then closed.
    pub async fn report(&self, report: &Report, timeout: Duration) -> Result<Reply> {
        let packet = Packet { body: pack(report)? };
        let mut client = self.peer();
        let reply = self.with_timeout(client.report(packet), timeout).await?;
        unpack(&reply.body)
    }

    /// Sends a request to an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer within `timeout`; the connection is then closed.
    pub async fn ask(&self, request: &Request, timeout: Duration) -> Result<Response> {
        let packet = Packet { body: pack(request)? };
        let mut client = self.peer();
        let reply = self.with_timeout(client.ask(packet), timeout).await?;
        unpack(&reply.body)
    }

    fn peer(&self) -> PeersClient<Channel> {
        PeersClient::with_origin(self.channel.clone(), self.channel.origin())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Limits the duration of a call. A dead connection shows only by a missing answer, so the
    /// connection is not used again after a timeout.
    async fn with_timeout(
        &self,
        call: impl Future<Output = std::result::Result<tonic::Response<Packet>, tonic::Status>>,
        timeout: Duration,
    ) -> Result<Packet> {
        match monoio::time::timeout(timeout, call).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => Err(Error::Call(status)),
            Err(_) => {
                self.channel.reset();
                Err(Error::Timeout(timeout.as_millis()))
            }
        }
    }
}

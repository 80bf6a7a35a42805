use super::{Answer, Error, Question, Result, pack, unpack};
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
    /// A client of the peer at `address`; connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { channel: Channel::new(address) }
    }

    /// The address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.channel.address()
    }

    /// Reports to an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer within `limit`; the connection is then given up.
    pub async fn report(&self, report: &Report, limit: Duration) -> Result<Reply> {
        let packet = Packet { body: pack(report)? };
        let mut client = PeersClient::with_origin(self.channel.clone(), self.channel.origin());
        let reply = self.limited(client.report(packet), limit).await?;
        unpack(&reply.body)
    }

    /// Asks an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer within `limit`; the connection is then given up.
    pub async fn ask(&self, question: &Question, limit: Duration) -> Result<Answer> {
        let packet = Packet { body: pack(question)? };
        let mut client = PeersClient::with_origin(self.channel.clone(), self.channel.origin());
        let reply = self.limited(client.ask(packet), limit).await?;
        unpack(&reply.body)
    }

    /// A connection that went silent shows only by the missing answer, so it is not used again.
    async fn limited(
        &self,
        call: impl Future<Output = std::result::Result<tonic::Response<Packet>, tonic::Status>>,
        limit: Duration,
    ) -> Result<Packet> {
        match monoio::time::timeout(limit, call).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => Err(Error::Call(status)),
            Err(_) => {
                self.channel.reset();
                Err(Error::Slow(limit.as_millis()))
            }
        }
    }
}

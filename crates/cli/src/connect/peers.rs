//! The peers' service of entries.

use super::variable;
use crate::error::{Error, Result};
use bpaf::Bpaf;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::{Response, Status};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Where entries serve their peers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(peers))]
pub struct Peers {
    /// Peers' address of an entry, ip:port; may be given several times
    #[bpaf(long("peers"), argument("ADDRESS"), many, parse(or_variable))]
    pub addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Calls every entry in turn and gives all answers.
    ///
    /// # Errors
    ///
    /// Fails at the first entry that does not answer, as the result would have gaps.
    pub async fn call_each<T>(
        &self,
        call: impl AsyncFn(SchedulerClient<Channel>) -> std::result::Result<Response<T>, Status>,
    ) -> Result<Vec<T>> {
        let mut replies = Vec::new();
        for &address in &self.addresses {
            let channel = Channel::new(address);
            let origin = channel.origin();
            let answering = call(SchedulerClient::with_origin(channel, origin));
            let failed = |detail| Error::Unreachable { address: address.to_string(), detail };
            let Ok(answer) = monoio::time::timeout(CALL_TIMEOUT, answering).await else {
                let limit = CALL_TIMEOUT.as_secs();
                return Err(failed(format!("did not answer within {limit} s; check its load")));
            };
            let reply = answer
                .map_err(|status| failed(format!("failed the call: {}", status.message())))?;
            replies.push(reply.into_inner());
        }
        Ok(replies)
    }
}

fn or_variable(given: Vec<SocketAddr>) -> std::result::Result<Vec<SocketAddr>, String> {
    variable::addresses(given, "--peers", "SHALLOTFLOW_PEERS")
}

//! Client of the RPC service that entries offer to their peers.

use super::env;
use crate::error::{Error, Result};
use bpaf::{Bpaf, Parser, long};
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::{Response, Status};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The addresses on which entries serve their peers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(peers))]
pub struct Peers {
    /// Peers' address of an entry, ip:port; may be given several times
    #[bpaf(long("peers"), argument("ADDRESS"), many, parse(or_env))]
    pub addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Calls every entry in turn and returns all responses.
    ///
    /// # Errors
    ///
    /// Fails at the first entry that does not respond, as the result would be incomplete.
    pub async fn call_each<T>(
        &self,
        call: impl AsyncFn(SchedulerClient<Channel>) -> std::result::Result<Response<T>, Status>,
    ) -> Result<Vec<T>> {
        let mut responses = Vec::new();
        for &address in &self.addresses {
            let channel = Channel::new(address);
            let origin = channel.origin();
            let pending = call(SchedulerClient::with_origin(channel, origin));
            let unreachable = |detail| Error::Unreachable { address: address.to_string(), detail };
            let Ok(result) = monoio::time::timeout(CALL_TIMEOUT, pending).await else {
                let limit = CALL_TIMEOUT.as_secs();
                return Err(unreachable(format!(
                    "did not answer within {limit} s; check its load"
                )));
            };
            let response = result
                .map_err(|status| unreachable(format!("failed the call: {}", status.message())))?;
            responses.push(response.into_inner());
        }
        Ok(responses)
    }
}

/// Parses the same addresses, none of which needs to be given.
pub fn optional_peers() -> impl Parser<Peers> {
    long("peers")
        .help(
            "Peers' address of an entry, to look up the known workers; may be given several times",
        )
        .argument::<SocketAddr>("ADDRESS")
        .many()
        .parse(|given| env::optional_addresses(given, "SHALLOTFLOW_PEERS"))
        .map(|addresses| Peers { addresses })
}

fn or_env(given: Vec<SocketAddr>) -> std::result::Result<Vec<SocketAddr>, String> {
    env::addresses(given, "--peers", "SHALLOTFLOW_PEERS")
}

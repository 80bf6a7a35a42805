//! `shallotflow evacuate DOMAIN`.

use super::except;
use crate::connect::{Endpoints, Peers, endpoints, optional_peers};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use serde_json::json;
use shallotflow_wire::proto;
use std::collections::BTreeSet;

/// Arguments of `evacuate`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    #[bpaf(external(optional_peers))]
    peers: Peers,
    /// Reason for the evacuation
    #[bpaf(argument("TEXT"))]
    reason: Option<String>,
    /// Author of the evacuation; the current user if not given
    #[bpaf(argument("NAME"))]
    author: Option<String>,
    /// Duration of the evacuation, such as 2h; until `evacuate --end` if not given
    #[bpaf(long("for"), argument("DURATION"))]
    duration: Option<String>,
    /// End the evacuation
    end: bool,
    /// Change identifier, to retry the same change
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Failure domain to evacuate
    #[bpaf(positional("DOMAIN"))]
    domain: String,
}

/// Adds or removes the exception that evacuates a failure domain.
///
/// # Errors
///
/// Fails if an evacuation has no reason, or if the entries list workers and none of them is in the
/// domain.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let id = format!("evacuate-{}", arguments.domain);
    if arguments.end {
        return except::remove_by_id(&arguments.store, arguments.change, &id).await;
    }
    let drain = except::Drain {
        id: id.clone(),
        key: "domain",
        name: arguments.domain.clone(),
        noun: "an evacuation",
        reason: arguments.reason,
        author: arguments.author,
        duration: arguments.duration,
    };
    let section = drain.section()?;
    let unverified = verify(&arguments.domain, &arguments.peers).await?;
    let mut output = except::add_section(&arguments.store, arguments.change, &id, &section).await?;
    if let Some(cause) = unverified {
        let domain = &arguments.domain;
        output.text.push_str(&format!(
            "the workers of domain `{domain}` are not verified: {cause}; see `shallotflow targets`\n"
        ));
        output.json["unverified"] = json!(cause);
    }
    Ok(output)
}

/// Checks that a known worker is in `domain`; returns why this cannot be told, if so.
///
/// An evacuation is often needed while entries are lost. It is refused only if every entry answers.
async fn verify(domain: &str, peers: &Peers) -> Result<Option<String>> {
    if peers.addresses.is_empty() {
        return Ok(Some("no entry is given with --peers or SHALLOTFLOW_PEERS".to_owned()));
    }
    let request = proto::TargetsRequest::default();
    let listed = peers.call_each(async |mut client| client.list_targets(request.clone()).await);
    let replies = match listed.await {
        Ok(replies) => replies,
        Err(error) => return Ok(Some(error.to_string())),
    };
    let targets = replies.into_iter().flat_map(|reply| reply.targets);
    let known: BTreeSet<String> = targets.map(|target| target.domain).collect();
    if known.is_empty() {
        return Ok(Some("the entries list no workers".to_owned()));
    }
    if known.contains(domain) {
        return Ok(None);
    }
    let known: Vec<String> = known.into_iter().collect();
    Err(Error::Argument(format!(
        "no worker is in domain `{domain}`; the known domains are {}",
        known.join(", ")
    )))
}

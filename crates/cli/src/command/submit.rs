//! `shallotflow submit KIND`.

use super::job;
use crate::answer::{Answer, Output, output};
use crate::change::new_id;
use crate::connect::{Callers, Reply, callers, variable};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use http::Request;
use serde_json::json;
use shallotflow_core::ini::codec::{Codec, Span};
use shallotflow_core::resources::Bundle;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use std::time::Duration;

/// How often a submission without an answer is sent again with the same key.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Arguments of `submit`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(callers))]
    entry: Callers,
    /// Who submits; you, if not given
    #[bpaf(argument("NAME"), optional, parse(variable::caller))]
    caller: String,
    /// Idempotency key; a new one if not given
    #[bpaf(argument("KEY"))]
    key: Option<String>,
    /// What it needs, such as slots=1,millicores=500,memory_mib=64
    #[bpaf(argument("RESOURCES"), fallback(Bundle { slots: 1, ..Bundle::default() }))]
    resources: Bundle,
    /// How long it runs, such as 90s
    #[bpaf(argument::<String>("DURATION"), parse(span))]
    runs: Duration,
    /// It may run again after it may have run
    idempotent: bool,
    /// Higher starts first; from 200 on it is urgent; that of the fleet configuration if not given
    #[bpaf(argument("PRIORITY"))]
    priority: Option<u8>,
    /// The body handed to the worker
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    payload: String,
    /// The kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
}

fn span(text: String) -> std::result::Result<Duration, String> {
    Span::parse(&text).ok_or_else(|| format!("`{text}` is not {}", Span::EXPECTED))
}

/// Submits a job once.
///
/// # Errors
///
/// Gives the problem that the entry answers with; the key allows to try again.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
    let key = arguments.key.clone().unwrap_or_else(|| new_id().to_string());
    let reply = arguments.send(&key).await?;
    Ok(job::answer(&reply.json()?))
}

impl Arguments {
    /// Sends the submission again when its answer is lost; the key keeps it from running twice.
    async fn send(&self, key: &str) -> Result<Reply> {
        let mut attempt = 1;
        loop {
            match self.entry.send(self.request(key)?).await {
                Err(Error::Unreachable { .. }) if attempt < MAX_ATTEMPTS => attempt += 1,
                Err(Error::Unreachable { address, detail }) => {
                    let settle = format!("{detail}; submit again with --key {key}");
                    return Err(Error::Unreachable { address, detail: settle });
                }
                result => return result,
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn request(&self, key: &str) -> Result<Request<Body>> {
        let body = json!({
            "kind": self.kind,
            "resources": self.resources,
            "declared_run_ms": u64::try_from(self.runs.as_millis()).unwrap_or(u64::MAX),
            "idempotent": self.idempotent,
            "priority": self.priority,
            "payload": self.payload,
        });
        let request = Request::post("/jobs")
            .header("content-type", "application/json")
            .header("idempotency-key", key)
            .header(header::CALLER, &self.caller)
            .body(Body::from(body.to_string()));
        request.map_err(|error| Error::Argument(format!("key or caller is not accepted: {error}")))
    }
}

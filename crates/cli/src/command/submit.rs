//! `shallotflow submit KIND`.

use super::job;
use crate::change::new_id;
use crate::connect::{Entry, Response, entry, env};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::Request;
use serde_json::json;
use shallotflow_core::ini::codec::{Codec, Span};
use shallotflow_core::resources::Bundle;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use std::time::Duration;

/// Maximum number of times that a submission without a response is sent, always with the same key.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Arguments of `submit`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(entry))]
    entry: Entry,
    /// Caller that submits the job; the current user if not given
    #[bpaf(argument("NAME"), optional, parse(env::caller))]
    caller: String,
    /// Idempotency key; a new one if not given
    #[bpaf(argument("KEY"))]
    key: Option<String>,
    /// Resources that the job needs, such as slots=1,millicores=500,memory_mib=64
    #[bpaf(argument("RESOURCES"), fallback(Bundle { slots: 1, ..Bundle::default() }))]
    resources: Bundle,
    /// Declared run time of the job, such as 90s
    #[bpaf(long("runs"), argument::<String>("DURATION"), parse(span))]
    declared_run: Duration,
    /// Allow another run after a run whose outcome is unknown
    idempotent: bool,
    /// Higher starts first, 200 and above is urgent; from the fleet configuration if not given
    #[bpaf(argument("PRIORITY"))]
    priority: Option<u8>,
    /// Request body for the worker
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    payload: String,
    /// Kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
}

fn span(text: String) -> std::result::Result<Duration, String> {
    Span::parse(&text).ok_or_else(|| format!("`{text}` is not {}", Span::EXPECTED))
}

/// Submits a job, at most once for each idempotency key.
///
/// # Errors
///
/// Returns the problem that the entry reports; the submission can be retried with the same key.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let key = arguments.key.clone().unwrap_or_else(|| new_id().to_string());
    let response = arguments.send(&key).await?;
    Ok(job::output(&response.json()?))
}

impl Arguments {
    /// Sends the submission, with retries if the response is lost; the key makes them idempotent.
    async fn send(&self, key: &str) -> Result<Response> {
        let mut attempt = 1;
        loop {
            match self.entry.send(self.request(key)?).await {
                Err(Error::Unreachable { .. }) if attempt < MAX_ATTEMPTS => attempt += 1,
                Err(Error::Unreachable { address, detail }) => {
                    let detail = format!("{detail}; submit again with --key {key}");
                    return Err(Error::Unreachable { address, detail });
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
            "declared_run_ms": u64::try_from(self.declared_run.as_millis()).unwrap_or(u64::MAX),
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

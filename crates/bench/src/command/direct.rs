//! `direct`: measures the latency that the entry and the agent add to a direct call of the target.

use crate::cluster::{Cluster, Settings};
use crate::load::client::Client;
use crate::load::tally::{Latencies, latencies};
use crate::load::token::Token;
use crate::testbed::Testbed;
use anyhow::ensure;
use bpaf::Bpaf;
use http::Request;
use shallotflow_runtime::executor;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_BYTES: usize = 256;
const TARGET_MS: f64 = 0.3;

/// Options of `direct`
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Number of sequential calls, directly and through the entry each
    #[bpaf(argument("N"), fallback(5_000))]
    pub calls: u64,
    /// `guild`, `merkjagerd` or the path of an INI file
    #[bpaf(positional("FLOOR"))]
    pub testbed: String,
}

impl Options {
    /// Alternately calls a target directly and through an entry and an agent; prints the medians.
    ///
    /// # Errors
    ///
    /// Fails when the testbed cannot be read, a process cannot start or a call fails.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let mut testbed = Testbed::load(&self.testbed)?;
        testbed.site.workers = 1;
        testbed.site.entries = 1;
        let kind = testbed.kinds.first().map(|kind| kind.name.to_string()).unwrap_or_default();
        let cluster = Cluster::start(Settings::new(testbed, 1))?;
        let target = cluster.workers[0].target;
        let entry = cluster.entries[0].backend.callers;
        let (direct, through) = executor::run(alternate(target, entry, kind, self.calls))??;
        cluster.stop()?;
        let median_ms = |latencies: &Latencies| latencies.value_at_quantile(0.5) as f64 / 1e3;
        let added = median_ms(&through) - median_ms(&direct);
        println!("direct p50 {:.3} ms", median_ms(&direct));
        println!("through entry and agent p50 {:.3} ms", median_ms(&through));
        let verdict = if added <= TARGET_MS { "pass" } else { "short" };
        println!("added at p50 {added:.3} ms, at most {TARGET_MS} ms: {verdict}");
        Ok(ExitCode::SUCCESS)
    }
}

async fn alternate(
    target: SocketAddr,
    entry: SocketAddr,
    kind: String,
    calls: u64,
) -> anyhow::Result<(Latencies, Latencies)> {
    let (direct_client, entry_client) = (Client::new(target), Client::new(entry));
    let (mut direct, mut through) = (latencies(), latencies());
    for number in 0..calls {
        direct.saturating_record(call(&direct_client, &kind, Token::new(0, number)).await?);
        through.saturating_record(call(&entry_client, &kind, Token::new(1, number)).await?);
    }
    Ok((direct, through))
}

/// Sends one request of zero service time; returns its latency in microseconds.
async fn call(client: &Client, kind: &str, token: Token) -> anyhow::Result<u64> {
    let body = token.body(BODY_BYTES);
    let request = Request::post(format!("/run/{kind}"))
        .header("shallotflow-caller", "bench")
        .header("shallotflow-idempotent", "true")
        .header("shallotflow-request-id", token.to_string())
        .header("standin-run-ms", "0")
        .body(Body::Full(body.clone()))?;
    let start = Instant::now();
    let answer = client.send(request, CALL_TIMEOUT).await;
    let latency = start.elapsed();
    let answer = answer.map_err(|failure| anyhow::anyhow!("call {token} failed: {failure:?}"))?;
    ensure!(token.matches(&body, &answer.body), "call {token} was answered {}", answer.status);
    Ok(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX))
}

//! The results of the requests of one class.

use crate::load::tally::{Latencies, Tally};
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Counts and latencies; latency is measured from when a request was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quick {
    /// Requests due.
    pub sent: u64,
    /// Requests done.
    pub done: u64,
    /// Requests that the system reported as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Median latency, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, milliseconds.
    pub p999_ms: f64,
    /// Share of the requests sent that were done within their deadline.
    pub in_deadline: f64,
    /// How late the generator sent requests, 99th percentile, milliseconds; part of the latency.
    pub generator_lag_p99_ms: f64,
}

impl From<&Tally> for Quick {
    fn from(tally: &Tally) -> Self {
        Self {
            sent: tally.sent,
            done: tally.done,
            not_run: tally.not_run,
            unknown: tally.unknown,
            p50_ms: percentile_ms(&tally.latency, 0.5),
            p99_ms: percentile_ms(&tally.latency, 0.99),
            p999_ms: percentile_ms(&tally.latency, 0.999),
            in_deadline: share(tally.in_time, tally.sent),
            generator_lag_p99_ms: percentile_ms(&tally.lag, 0.99),
        }
    }
}

/// Returns a percentile in milliseconds, with three decimals; zero for an empty histogram.
pub(crate) fn percentile_ms(latencies: &Latencies, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

//! Admission of a request at the entry.

use super::{Settings, Table};
use shallotflow_core::class::Class;
use std::time::Duration;

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The caller.
    pub caller: &'a str,
    /// The class of work.
    pub class: Class,
    /// Expected wait at the chosen target.
    pub wait: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Largest share of the requests in progress that the caller may have, thousandths.
    pub share_milli: u32,
    /// Weight of the caller relative to one without an exception, thousandths.
    pub weight_milli: u32,
}

impl Claim<'_> {
    /// Whether the expected wait is long enough for shares to apply.
    pub fn is_under_pressure(&self, settings: &Settings) -> bool {
        self.wait > scale(self.remaining, settings.pressure_milli)
    }
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The limit on watchers is reached.
    Watchers,
    /// The expected wait is too long for the deadline.
    DeadlineUnreachable,
    /// The caller exceeds its share while requests wait.
    OverShare,
}

/// Decides whether a request is admitted.
///
/// # Errors
///
/// Returns the reason for the refusal.
pub fn admit(
    claim: &Claim<'_>,
    table: &Table,
    settings: &Settings,
) -> std::result::Result<(), Refusal> {
    if claim.class == Class::Watch {
        return admit_watcher(claim, table, settings);
    }
    if claim.wait > scale(claim.remaining, settings.max_wait_milli) {
        return Err(Refusal::DeadlineUnreachable);
    }
    if claim.is_under_pressure(settings) && is_over_share(claim, table, settings) {
        return Err(Refusal::OverShare);
    }
    Ok(())
}

fn admit_watcher(
    claim: &Claim<'_>,
    table: &Table,
    settings: &Settings,
) -> std::result::Result<(), Refusal> {
    let watchers = table.total(Class::Watch);
    if watchers >= settings.watchers {
        return Err(Refusal::Watchers);
    }
    let under_pressure = watchers >= settings.watchers / 2;
    if under_pressure && is_over_share(claim, table, settings) {
        return Err(Refusal::OverShare);
    }
    Ok(())
}

/// Whether one more request would exceed the caller's share of those in progress.
///
/// A sole caller is not limited. Otherwise the limit is the lower of the caller's share of the
/// requests in progress and its weighted fair share among the callers, but not less than what is
/// guaranteed.
fn is_over_share(claim: &Claim<'_>, table: &Table, settings: &Settings) -> bool {
    let in_progress = table.in_progress(claim.caller, claim.class);
    let callers = table.callers(claim.class) + u32::from(in_progress == 0);
    if callers <= 1 {
        return false;
    }
    let total = u64::from(table.total(claim.class));
    let limit = total * u64::from(claim.share_milli) / 1_000;
    let fair = total * u64::from(claim.weight_milli) / 1_000 / u64::from(callers);
    let fair = fair * u64::from(settings.excess_milli) / 1_000;
    u64::from(in_progress) >= limit.min(fair).max(settings.guaranteed.into())
}

fn scale(span: Duration, milli: u32) -> Duration {
    span.saturating_mul(milli) / 1_000
}

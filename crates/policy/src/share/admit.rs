//! Whether a request is taken on.

use super::{Settings, Table};
use shallotflow_core::class::Class;
use std::time::Duration;

/// A request that wants to be taken on.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Who asks.
    pub caller: &'a str,
    /// The class of work.
    pub class: Class,
    /// How long it is expected to wait at the best target at hand.
    pub wait: Duration,
    /// The time left until its deadline.
    pub remaining: Duration,
    /// The share of what is in progress that the caller may have, thousandths.
    pub share_milli: u32,
    /// How much the caller counts beside one to which no exception applies, thousandths.
    pub weight_milli: u32,
}

impl Claim<'_> {
    /// Whether quick requests wait long enough for shares to apply.
    pub fn is_under_pressure(&self, settings: &Settings) -> bool {
        self.wait > part(self.remaining, settings.pressure_milli)
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There are as many watchers as there may be.
    Watchers,
    /// It would wait beyond its deadline.
    DeadlineUnreachable,
    /// Its caller has more than its share while requests wait.
    OverShare,
}

/// Decides whether a request is taken on.
///
/// # Errors
///
/// Gives the reason of a refusal.
pub fn admit(
    claim: &Claim<'_>,
    table: &Table,
    settings: &Settings,
) -> std::result::Result<(), Refusal> {
    if claim.class == Class::Watch {
        return admit_watcher(claim, table, settings);
    }
    if claim.wait > part(claim.remaining, settings.hopeless_milli) {
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
    let held = table.total(Class::Watch);
    if held >= settings.watchers {
        return Err(Refusal::Watchers);
    }
    let pressed = held >= settings.watchers / 2;
    if pressed && is_over_share(claim, table, settings) {
        return Err(Refusal::OverShare);
    }
    Ok(())
}

/// Whether one more request would exceed the caller's share of those in progress.
///
/// A caller alone may have everything. Otherwise it may have its part of what is in progress, and
/// no more than its weight gives it beside the other callers.
fn is_over_share(claim: &Claim<'_>, table: &Table, settings: &Settings) -> bool {
    let own = table.in_progress(claim.caller, claim.class);
    let callers = table.callers(claim.class) + u32::from(own == 0);
    if callers <= 1 {
        return false;
    }
    let total = u64::from(table.total(claim.class));
    let absolute = total * u64::from(claim.share_milli) / 1_000;
    let fair = total * u64::from(claim.weight_milli) / 1_000 / u64::from(callers);
    let fair = fair * u64::from(settings.excess_milli) / 1_000;
    u64::from(own) >= absolute.min(fair).max(settings.always.into())
}

fn part(span: Duration, milli: u32) -> Duration {
    span.saturating_mul(milli) / 1_000
}

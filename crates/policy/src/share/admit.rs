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
    pub left: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There are as many watchers as there may be.
    Watchers,
    /// It would wait beyond its deadline.
    Hopeless,
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
    if claim.wait > part(claim.left, settings.hopeless_milli) {
        return Err(Refusal::Hopeless);
    }
    let pressed = claim.wait > part(claim.left, settings.pressure_milli);
    if pressed && is_over_share(claim, table, settings, settings.always) {
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
    if pressed && is_over_share(claim, table, settings, settings.always) {
        return Err(Refusal::OverShare);
    }
    Ok(())
}

/// Whether one more request would exceed the caller's share of those in progress.
fn is_over_share(claim: &Claim<'_>, table: &Table, settings: &Settings, always: u32) -> bool {
    let own = table.of(claim.caller, claim.class);
    let callers = table.callers(claim.class) + u32::from(own == 0);
    if callers <= 1 {
        return false;
    }
    let fair = u64::from(table.total(claim.class)) / u64::from(callers);
    let most = fair * u64::from(settings.excess_milli) / 1_000;
    u64::from(own) >= most.max(u64::from(always))
}

fn part(span: Duration, milli: u32) -> Duration {
    span.saturating_mul(milli) / 1_000
}

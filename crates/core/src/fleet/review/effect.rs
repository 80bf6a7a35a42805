//! Exceptions that can never match, are always overridden, or change nothing.

use super::super::{Condition, Config, Exception, Scope, Values};
use super::{Finding, Fleet, Kind};
use crate::ini::Key;

/// Finds a condition that no known worker fulfils. Callers are not known, and the domain in a
/// condition on requests is that of an entry.
pub(super) fn unmatched(exception: &Exception, fleet: &Fleet) -> Option<Finding> {
    let Condition { domain, worker, kind, .. } = &exception.condition;
    let about_workers = exception.overrides.iter().any(|key| Scope::of(key) == Scope::Worker);
    let matching = fleet.workers.iter().any(|known| {
        (!about_workers || domain.as_ref().is_none_or(|domain| *domain == known.domain))
            && worker.as_ref().is_none_or(|worker| *worker == known.name)
            && kind.as_ref().is_none_or(|kind| known.kinds.contains(kind))
    });
    if fleet.workers.is_empty() || matching {
        return None;
    }
    let names = [("domain", domain), ("worker", worker), ("kind", kind)];
    let given = names.iter().filter_map(|(key, name)| Some(format!("{key} = {}", name.as_ref()?)));
    let given: Vec<String> = given.collect();
    let detail = format!("no known worker fulfils `{}`", given.join("`, `"));
    let remedy = "correct the condition, or remove the exception";
    Some(Finding::about(exception, Kind::Unmatched, None, detail, remedy))
}

/// Finds the values of the exception at `index` that another exception always overrides, or that
/// equal what holds without the exception.
pub(super) fn without_effect(config: &Config, index: usize, unix_now_s: u64) -> Vec<Finding> {
    let exception = &config.exceptions[index];
    let mut findings = Vec::new();
    for name in &exception.overrides {
        let Some(key) = Values::TABLE.key("defaults", name) else { continue };
        let finding = match overriding(config, index, name) {
            Some(other) => {
                let detail = format!("exception `{}` always overrides `{name}`", other.id);
                (Kind::Overridden, detail, "remove one of the two")
            }
            None if is_redundant(config, index, key, unix_now_s) => {
                let value = (key.print)(&exception.values);
                let detail = format!("`{name}` is {value} without it as well");
                (Kind::Redundant, detail, "remove the key")
            }
            None => continue,
        };
        let (kind, detail, remedy) = finding;
        findings.push(Finding::about(exception, kind, Some(name), detail, remedy));
    }
    findings
}

/// The exception that takes precedence for `key` wherever and whenever the one at `index` applies.
///
/// A more general condition never takes precedence, so that the conditions are the same.
fn overriding<'a>(config: &'a Config, index: usize, key: &str) -> Option<&'a Exception> {
    let exception = &config.exceptions[index];
    let outlasts = |other: &Exception| match (other.expires_unix_s, exception.expires_unix_s) {
        (None, _) => true,
        (Some(other), Some(own)) => other >= own,
        (Some(_), None) => false,
    };
    config.exceptions[index + 1..]
        .iter()
        .find(|other| other.condition == exception.condition && other.sets(key) && outlasts(other))
}

/// Whether every value that could hold without the exception equals its own.
fn is_redundant(config: &Config, index: usize, key: &Key<Values>, unix_now_s: u64) -> bool {
    let exception = &config.exceptions[index];
    let own = (key.print)(&exception.values);
    let precedence = |(at, other): &(usize, &Exception)| (other.condition.specificity(), *at);
    let limit = precedence(&(index, exception));
    let mut lower: Vec<(usize, &Exception)> = config
        .exceptions
        .iter()
        .enumerate()
        .filter(|other| precedence(other) < limit)
        .filter(|(_, other)| other.is_in_force(unix_now_s) && other.sets(key.name))
        .filter(|(_, other)| are_compatible(&other.condition, &exception.condition))
        .collect();
    lower.sort_by_key(|other| std::cmp::Reverse(precedence(other)));
    for (_, other) in lower {
        if (key.print)(&other.values) != own {
            return false;
        }
        if covers(&other.condition, &exception.condition) {
            return true;
        }
    }
    (key.print)(&config.defaults) == own
}

/// The names of both conditions, side by side.
fn names<'a>(
    first: &'a Condition,
    second: &'a Condition,
) -> [(Option<&'a str>, Option<&'a str>); 4] {
    [
        (first.domain.as_deref(), second.domain.as_deref()),
        (first.worker.as_deref(), second.worker.as_deref()),
        (first.kind.as_deref(), second.kind.as_deref()),
        (first.caller.as_deref(), second.caller.as_deref()),
    ]
}

/// Whether some subject may match both conditions.
fn are_compatible(first: &Condition, second: &Condition) -> bool {
    let pairs = names(first, second);
    pairs.iter().all(|(first, second)| first.is_none() || second.is_none() || first == second)
}

/// Whether every subject that matches `inner` matches `outer`.
fn covers(outer: &Condition, inner: &Condition) -> bool {
    names(outer, inner).iter().all(|(outer, inner)| outer.is_none() || outer == inner)
}

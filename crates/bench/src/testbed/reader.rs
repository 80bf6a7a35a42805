//! Reads a testbed from the sections of an INI document.

use super::{Disturbance, Kind, Result, Site, Surge, Testbed};
use shallotflow_core::class::Class;
use shallotflow_core::ini::codec::{self, Codec, Count, Flag, Label, List, Percent, Span};
use shallotflow_core::ini::{Document, Entry, Fault, Section};
use shallotflow_core::resources::Bundle;
use std::ops::RangeInclusive;
use std::time::Duration;

const SECTIONS: &str = "`floor`, `capacity`, `surge`, `kind NAME`, `disturbance KIND`";
const WORKERS: RangeInclusive<usize> = 1..=200;
const ENTRIES: RangeInclusive<usize> = 1..=16;
const RATE: RangeInclusive<u32> = 0..=20_000;
const FACTOR: RangeInclusive<u32> = 1..=1_000;
const BODY_BYTES: RangeInclusive<usize> = 32..=1_048_576;
const SHARE: RangeInclusive<u32> = 0..=1_000;
const TIME: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3_600);

type Read = std::result::Result<(), Fault>;

/// Reads every section of `document`.
pub(super) fn read(document: &Document) -> Result<Testbed> {
    let mut testbed = Testbed::default();
    for section in &document.sections {
        read_section(document, section, &mut testbed)?;
    }
    check(&testbed).map_err(|fault| document.error(1, fault))?;
    Ok(testbed)
}

fn read_section(document: &Document, section: &Section, testbed: &mut Testbed) -> Result<()> {
    let (title, name) = section.name.split_once(' ').unwrap_or((&section.name, ""));
    match (title, name.trim()) {
        ("floor", "") => read_entries(document, section, &mut testbed.site, site),
        ("capacity", "") => read_entries(document, section, &mut testbed.capacity, bundle),
        ("surge", "") => read_entries(document, section, &mut testbed.surge, surge),
        ("kind", name) if !name.is_empty() => {
            let mut new = Kind { name: name.into(), ..Kind::default() };
            read_entries(document, section, &mut new, kind)?;
            testbed.kinds.push(new);
            Ok(())
        }
        ("disturbance", name) if !name.is_empty() => {
            read_entries(document, section, &mut testbed.disturbances, |pairs, entry| {
                let slowdown_milli = value_within::<Percent>(entry, &SHARE)?;
                let neighbor = entry.key.as_str().into();
                pairs.push(Disturbance { kind: name.into(), neighbor, slowdown_milli });
                Ok(())
            })
        }
        _ => {
            let fault =
                Fault::UnknownSection { name: section.name.clone(), known: SECTIONS.to_owned() };
            Err(document.error(section.line, fault))
        }
    }
}

fn read_entries<T>(
    document: &Document,
    section: &Section,
    target: &mut T,
    read: impl Fn(&mut T, &Entry) -> Read,
) -> Result<()> {
    for entry in &section.entries {
        read(target, entry).map_err(|fault| match fault {
            Fault::UnknownKey { name, hint, .. } => {
                let section = section.name.clone();
                document.error(entry.line, Fault::UnknownKey { name, section, hint })
            }
            fault => document.error(entry.line, fault),
        })?;
    }
    Ok(())
}

fn site(site: &mut Site, entry: &Entry) -> Read {
    match entry.key.as_str() {
        "name" => site.name = value::<Label>(entry)?,
        "domains" => site.domains = value::<List<Label>>(entry)?,
        "workers" => site.workers = value_within::<Count<usize>>(entry, &WORKERS)?,
        "entries" => site.entries = value_within::<Count<usize>>(entry, &ENTRIES)?,
        "domain_latency" => site.domain_latency = value::<Span>(entry)?,
        "report_lag" => site.report_lag = value::<Span>(entry)?,
        "time_scale" => site.time_scale = value::<Count<u32>>(entry)?,
        _ => {
            return unknown(
                entry,
                "name, domains, workers, entries, domain_latency, report_lag, time_scale",
            );
        }
    }
    Ok(())
}

fn bundle(bundle: &mut Bundle, entry: &Entry) -> Read {
    let field = match entry.key.as_str() {
        "slots" => &mut bundle.slots,
        "connections" => &mut bundle.connections,
        "millicores" => &mut bundle.millicores,
        "memory_mib" => &mut bundle.memory_mib,
        "accelerators" => &mut bundle.accelerators,
        _ => return unknown(entry, "slots, connections, millicores, memory_mib, accelerators"),
    };
    *field = value::<Count<u32>>(entry)?;
    Ok(())
}

fn surge(surge: &mut Surge, entry: &Entry) -> Read {
    match entry.key.as_str() {
        "start" => surge.start = value_within::<Percent>(entry, &SHARE)?,
        "rise" => surge.rise = value::<Span>(entry)?,
        "length" => surge.length = value_within::<Percent>(entry, &SHARE)?,
        "factor" => surge.factor = value_within::<Count<u32>>(entry, &FACTOR)?,
        _ => return unknown(entry, "start, rise, length, factor"),
    }
    Ok(())
}

fn kind(kind: &mut Kind, entry: &Entry) -> Read {
    match entry.key.as_str() {
        "class" => kind.class = class(entry)?,
        "rate" => kind.rate = value_within::<Count<u32>>(entry, &RATE)?,
        "median" => kind.median = value_within::<Span>(entry, &TIME)?,
        "spread" => kind.spread = value_within::<Percent>(entry, &SHARE)?,
        "straggler_share" => kind.straggler_share = value_within::<Percent>(entry, &SHARE)?,
        "straggler_factor" => kind.straggler_factor = value_within::<Count<u32>>(entry, &FACTOR)?,
        "deadline" => kind.deadline = value_within::<Span>(entry, &TIME)?,
        "declared_run" => kind.declared_run = value_within::<Span>(entry, &TIME)?,
        "idempotent" => kind.idempotent = value::<Flag>(entry)?,
        "body_bytes" => kind.body_bytes = value_within::<Count<usize>>(entry, &BODY_BYTES)?,
        _ => {
            let known = "class, rate, median, spread, straggler_share, straggler_factor, \
                         deadline, declared_run, idempotent, body_bytes, or a resource";
            return bundle(&mut kind.resources, entry).map_err(|fault| match fault {
                Fault::UnknownKey { .. } => unknown_key(entry, known),
                fault => fault,
            });
        }
    }
    Ok(())
}

fn class(entry: &Entry) -> std::result::Result<Class, Fault> {
    let classes = [Class::Quick, Class::Watch, Class::Batch];
    let named = classes.into_iter().find(|class| class.as_str() == entry.value);
    named.ok_or_else(|| Fault::Syntax {
        key: entry.key.clone(),
        value: entry.value.clone(),
        expected: "`quick`, `watch` or `batch`".to_owned(),
    })
}

fn check(testbed: &Testbed) -> Read {
    let conflict =
        |message: String, remedy: &str| Err(Fault::Conflict { message, remedy: remedy.to_owned() });
    if testbed.site.domains.is_empty() {
        return conflict("section `floor` names no failure domain".into(), "name one in `domains`");
    }
    if let Some(kind) = testbed.kinds.iter().find(|kind| !testbed.capacity.holds(&kind.resources)) {
        let message = format!("no worker can hold one task of kind `{}`", kind.name);
        return conflict(message, "lower its resources or raise those in `capacity`");
    }
    let known = |name: &str| testbed.kind(name).is_some();
    let pair =
        testbed.disturbances.iter().find(|pair| !known(&pair.kind) || !known(&pair.neighbor));
    if let Some(pair) = pair {
        let message = format!(
            "the disturbance of `{}` by `{}` names an unknown kind",
            pair.kind, pair.neighbor
        );
        return conflict(message, "use the names of `kind` sections");
    }
    Ok(())
}

fn value<C: Codec>(entry: &Entry) -> std::result::Result<C::Value, Fault> {
    codec::read::<C>(&entry.key, &entry.value)
}

fn value_within<C: Codec<Value: PartialOrd>>(
    entry: &Entry,
    range: &RangeInclusive<C::Value>,
) -> std::result::Result<C::Value, Fault> {
    codec::read_within::<C>(&entry.key, &entry.value, range)
}

fn unknown(entry: &Entry, known: &str) -> Read {
    Err(unknown_key(entry, known))
}

fn unknown_key(entry: &Entry, known: &str) -> Fault {
    let hint = format!("use one of {known}");
    Fault::UnknownKey { name: entry.key.clone(), section: String::new(), hint }
}

//! The fleet configuration: resolution, round trips, merging and rejected texts.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::fleet::{Condition, Config, Exception, Subject, Values, merge};
use shallotflow_core::name::Name;
use std::time::Duration;
use test_case::test_case;

const NAMES: [&str; 3] = ["a", "b", "c"];
const WORKER_KEYS: [&str; 3] = ["reserve", "batch", "watch_cap"];
const REQUEST_KEYS: [&str; 3] = ["priority", "caller_share", "quick_deadline"];

#[test_case(
    "[exception x]\nworker = w\nbatch = false",
    "fleet.ini:1: section `exception x` has no `reason`; add a line `reason = …`"
)]
#[test_case("[exception x]\nworker = w\nbatch = false\nreason =", "fleet.ini:1: section `exception x` has no `reason`; add a line `reason = …`"; "an empty reason")]
#[test_case(
    "[exception x]\nreason = r\nbatch = false",
    "fleet.ini:1: exception `x` matches everything; add `domain`, `worker`, `kind` or `caller`, or change the defaults"
)]
#[test_case(
    "[exception x]\nworker = w\nreason = r",
    "fleet.ini:1: exception `x` overrides nothing; add at least one key of `[defaults]`"
)]
#[test_case(
    "[defaults]\n[exception x]\nworkr = w",
    "fleet.ini:3: key `workr` is unknown in section `exception x`; did you mean `worker`?"
)]
#[test_case(
    "[exception x y]\nworker = w",
    "fleet.ini:1: `x y` is not a name of at most 100 letters, digits, `-`, `_` and `.`; correct the value of `exception`"
)]
#[test_case(
    "[exceptions]",
    "fleet.ini:1: section `exceptions` is unknown; use one of `defaults`, `exception ID`"
)]
#[test_case(
    "[defaults]\nreserve = 101%",
    "fleet.ini:2: `101%` is out of range for `reserve`; use a value from 0% to 100%"
)]
#[test_case(
    "[exception  x]\nworker=w\nbatch=true\nreason=r\n[exception x]\nworker=w\nbatch=true\nreason=r",
    "fleet.ini:5: exception `x` is defined twice; give each its own identifier"
)]
#[test_case(
    "[exception x]\nexpires = tomorrow",
    "fleet.ini:2: `tomorrow` is not a time in UTC, such as `2026-12-31T18:00:00Z`; correct the value of `expires`"
)]
#[test_case(
    "[exception x]\nkind = k\nreserve = 1%\nreason = r",
    "fleet.ini:1: exception `x` overrides `reserve`, which applies to workers, by `kind`; use conditions on `domain`, `worker` only"
)]
#[test_case(
    "[exception x]\nworker = w\npriority = 1\nreason = r",
    "fleet.ini:1: exception `x` overrides `priority`, which applies to requests and jobs, by `worker`; use conditions on `domain`, `kind`, `caller` only"
)]
fn rejects_invalid_configurations_with_line_and_remedy(text: &str, message: &str) {
    let error = Config::parse("fleet.ini", text).expect_err("an invalid configuration");
    assert_eq!(error.to_string(), message);
}

#[test]
fn more_specific_exceptions_win_and_expired_ones_are_ignored() {
    let text = "[defaults]\nreserve = 10%\n\
                [exception both]\ndomain = d\nworker = x\nreserve = 40%\nreason = r\n\
                [exception worker]\nworker = w\nreserve = 30%\nreason = r\n\
                [exception domain]\ndomain = d\nreserve = 20%\nbatch = false\nreason = r\n\
                expires = 2026-12-31T18:00:00Z\n";
    let config = Config::parse("fleet.ini", text).expect("a valid configuration");
    let expiry = config.exceptions[2].expires_unix_s.expect("an expiry");
    assert_eq!(expiry, 1_798_740_000);
    let reserve = |subject: Subject<'_>, now| config.resolve(&subject, now).reserve;
    let worker = Subject { domain: "d", worker: "w", ..Subject::default() };
    assert_eq!(reserve(Subject { worker: "x", ..worker }, 0), 400);
    assert_eq!(reserve(worker, 0), 300);
    let domain = Subject { worker: "other", ..worker };
    assert_eq!(reserve(domain, expiry - 1), 200);
    assert_eq!(reserve(domain, expiry), 100);
    assert!(config.resolve(&domain, expiry).batch);
}

#[test_case("[exception e]\ndomain = d\ndrain = true\nreason = r", &["d"]; "a domain that drains")]
#[test_case("[exception e]\ndomain = d\ndrain = true\nreason = r\nexpires = 2026-12-31T18:00:00Z", &[]; "an exception that has expired")]
#[test_case("[exception e]\ndomain = d\nworker = w\ndrain = true\nreason = r", &[]; "one worker that drains")]
#[test_case("[exception e]\nworker = w\ndrain = true\nreason = r", &[]; "a worker that drains")]
#[test_case("[exception e]\ndomain = d\nbatch = false\nreason = r", &[]; "a domain without batch work")]
#[test_case("[defaults]\ndrain = true", &[]; "defaults that name no domain")]
#[test_case("[exception e]\ndomain = d\ndrain = true\nreason = r\n[exception f]\ndomain = d\ndrain = false\nreason = r", &[]; "a later exception that takes the domain back")]
#[test_case("[exception e]\ndomain = d\ndrain = false\nreason = r\n[exception f]\ndomain = d\ndrain = true\nreason = r", &["d"]; "an earlier exception that is overridden")]
#[test_case("[exception e]\ndomain = d\ndrain = true\nreason = r\n[exception f]\ndomain = d\nworker = w\ndrain = false\nreason = r", &[]; "a worker of the domain that does not drain")]
#[test_case("[exception e]\ndomain = d\ndrain = true\nreason = r\n[exception f]\nworker = w\ndrain = false\nreason = r", &["d"]; "a worker of an unknown domain")]
#[test_case("[exception e]\ndomain = d\ndrain = true\nreason = r\n[exception f]\ndomain = c\ndrain = true\nreason = r", &["c", "d"]; "two domains")]
fn domains_are_evacuated_by_exceptions_that_drain_all_their_workers(text: &str, domains: &[&str]) {
    const EXPIRY_UNIX_S: u64 = 1_798_740_000;
    let config = Config::parse("fleet.ini", text).expect("a valid configuration");
    let evacuated = config.evacuated_domains(EXPIRY_UNIX_S);
    assert_eq!(evacuated.iter().map(|domain| &**domain).collect::<Vec<_>>(), domains);
}

fn name() -> impl Strategy<Value = Name> {
    proptest::sample::select(&NAMES).prop_map(Into::into)
}

/// A condition and keys whose scope it matches.
fn condition_and_keys() -> impl Strategy<Value = (Condition, Vec<&'static str>)> {
    let maybe = || proptest::option::of(name());
    let keys = |keys| proptest::sample::subsequence(keys, 1..=3);
    let worker = (maybe(), maybe(), keys(&WORKER_KEYS[..])).prop_map(|(domain, worker, keys)| {
        (Condition { domain, worker, ..Condition::default() }, keys)
    });
    let request = (maybe(), maybe(), maybe(), keys(&REQUEST_KEYS[..])).prop_map(
        |(domain, kind, caller, keys)| (Condition { domain, kind, caller, worker: None }, keys),
    );
    prop_oneof![worker, request]
        .prop_filter("a condition sets at least one name", |(condition, _)| !condition.is_empty())
}

fn values() -> impl Strategy<Value = Values> {
    let worker = (0..=1000_u32, any::<bool>(), 0..100_u32);
    let request = (any::<u8>(), 1..=1000_u32, 1..100_000_u64);
    (worker, request).prop_map(|((reserve, batch, watch_cap), (priority, caller_share, ms))| {
        Values {
            reserve,
            batch,
            watch_cap,
            priority,
            caller_share,
            quick_deadline: Duration::from_millis(ms),
            ..Values::default()
        }
    })
}

fn exception(index: usize, draft: Draft) -> Exception {
    let Draft { condition_and_keys: (condition, keys), values: generated, expires_unix_s, reason } =
        draft;
    // Only overridden keys are written to the text, so the others keep their built-in defaults.
    let mut values = Values::default();
    for key in &keys {
        let key = Values::TABLE.key("defaults", key).expect("a known key");
        (key.copy)(&generated, &mut values);
    }
    Exception {
        id: format!("e{index}").into(),
        condition,
        overrides: keys.into_iter().map(Into::into).collect(),
        values,
        reason: reason.as_str().into(),
        author: None,
        expires_unix_s,
    }
}

#[derive(Debug)]
struct Draft {
    condition_and_keys: (Condition, Vec<&'static str>),
    values: Values,
    expires_unix_s: Option<u64>,
    reason: String,
}

fn config() -> impl Strategy<Value = Config> {
    let expiry = proptest::option::of(0..20_u64);
    let draft = (condition_and_keys(), values(), expiry, "[a-z;#=\\[\\]]{1,9}").prop_map(
        |(condition_and_keys, values, expires_unix_s, reason)| Draft {
            condition_and_keys,
            values,
            expires_unix_s,
            reason,
        },
    );
    (values(), proptest::collection::vec(draft, 0..8)).prop_map(|(defaults, drafts)| {
        let drafts = drafts.into_iter().enumerate();
        let exceptions = drafts.map(|(index, draft)| exception(index, draft)).collect();
        Config { defaults, exceptions }
    })
}

/// Reference implementation: applies the documented precedence rules key by key, without sorting.
fn resolve_by_rules(config: &Config, subject: &Subject<'_>, now: u64, key: &str) -> Values {
    let mut best: Option<(Vec<bool>, &Exception)> = None;
    for exception in &config.exceptions {
        let Condition { domain, worker, kind, caller } = &exception.condition;
        let pairs = [
            (worker, subject.worker),
            (caller, subject.caller),
            (kind, subject.kind),
            (domain, subject.domain),
        ];
        let matches = pairs
            .iter()
            .all(|(required, actual)| required.as_deref().is_none_or(|name| name == *actual));
        let ended = exception.expires_unix_s.is_some_and(|expires| expires <= now);
        if !matches || ended || !exception.overrides.contains(&key.into()) {
            continue;
        }
        let given: Vec<bool> = pairs.iter().map(|(required, _)| required.is_some()).collect();
        let count = |given: &[bool]| given.iter().filter(|given| **given).count();
        let wins = best.as_ref().is_none_or(|(other, _)| {
            count(&given) > count(other) || (count(&given) == count(other) && given >= *other)
        });
        if wins {
            best = Some((given, exception));
        }
    }
    best.map_or(config.defaults.clone(), |(_, exception)| exception.values.clone())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 512, ..Default::default()
    })]

    #[test]
    fn resolves_like_the_reference_implementation(config in config(), names in [name(), name(), name(), name()], now in 0..20_u64) {
        let [domain, worker, kind, caller] = &names;
        let subject = Subject { domain, worker, kind, caller };
        let resolved = config.resolve(&subject, now);
        prop_assert_eq!(resolved.reserve, resolve_by_rules(&config, &subject, now, "reserve").reserve);
        prop_assert_eq!(resolved.priority, resolve_by_rules(&config, &subject, now, "priority").priority);
    }

    #[test]
    fn formatted_text_parses_to_the_same_configuration(config in config()) {
        let printed = config.print();
        let parsed = Config::parse("printed", &printed);
        prop_assert_eq!(parsed.as_ref(), Ok(&config), "{}", printed);
    }

    #[test]
    fn edits_of_different_sections_merge_and_of_the_same_section_conflict(
        base in config(), our_defaults in values(), position in any::<prop::sample::Index>(), remove in any::<bool>(),
    ) {
        prop_assume!(!base.exceptions.is_empty());
        let index = position.index(base.exceptions.len());
        let ours = Config { defaults: our_defaults.clone(), ..base.clone() };
        let mut theirs = base.clone();
        if remove {
            theirs.exceptions.remove(index);
        } else {
            theirs.exceptions[index].reason = "another".into();
        }
        let merged = Config { defaults: our_defaults, ..theirs.clone() };
        prop_assert_eq!(merge(&base, &ours, &theirs), Ok(merged.clone()));
        prop_assert_eq!(merge(&base, &theirs, &ours), Ok(merged));
        let mut conflicting = base.clone();
        conflicting.exceptions[index].reason = "a third".into();
        let conflicts = merge(&base, &conflicting, &theirs).expect_err("both changed the same section");
        prop_assert_eq!(conflicts.len(), 1);
        prop_assert_eq!(&*conflicts[0].section, &*Exception::header(&base.exceptions[index].id));
    }

    #[test]
    fn arbitrary_text_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Config::parse("any", &text);
        let _ = Config::parse("any", &format!("[exception x]\nexpires={text}\nreserve={text}%"));
    }
}

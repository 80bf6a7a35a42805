//! Values that contradict each other or a limit.

use super::super::{Config, Exception, Subject, Values};
use super::{Finding, Fleet, Kind, Worker};
use std::time::Duration;

/// All slots of a worker, in thousandths.
const WHOLE_MILLI: u32 = 1_000;

/// A contradiction: the key, the cause and the remedy.
type Contradiction = (&'static str, String, &'static str);

/// Finds contradictions of the defaults.
pub(super) fn of_defaults(config: &Config, fleet: &Fleet) -> Vec<Finding> {
    let finding = |(key, detail, remedy): Contradiction| Finding {
        kind: Kind::Contradiction,
        section: "defaults".into(),
        key: Some(key.into()),
        detail,
        remedy: remedy.to_owned(),
    };
    contradictions(&config.defaults, |_| true, slots(fleet, None), fleet.longest_deadline)
        .into_iter()
        .map(finding)
        .collect()
}

/// Finds contradictions among the values that hold where `exception` applies and that it overrides
/// at least in part.
pub(super) fn of_exception(
    config: &Config,
    exception: &Exception,
    fleet: &Fleet,
    unix_now_s: u64,
) -> Vec<Finding> {
    let condition = &exception.condition;
    let subject = Subject {
        domain: condition.domain.as_deref().unwrap_or_default(),
        worker: condition.worker.as_deref().unwrap_or_default(),
        kind: condition.kind.as_deref().unwrap_or_default(),
        caller: condition.caller.as_deref().unwrap_or_default(),
    };
    let values = config.resolve(&subject, unix_now_s);
    let slots = slots(fleet, condition.kind.as_deref());
    contradictions(&values, |key| exception.sets(key), slots, fleet.longest_deadline)
        .into_iter()
        .map(|(key, detail, remedy)| {
            Finding::about(exception, Kind::Contradiction, Some(key), detail, remedy)
        })
        .collect()
}

/// The slots of the known workers that serve `kind`, or of all; `None` if there are none.
fn slots(fleet: &Fleet, kind: Option<&str>) -> Option<u64> {
    let serves = |worker: &&Worker| {
        kind.is_none_or(|kind| worker.kinds.iter().any(|known| &**known == kind))
    };
    let slots = fleet.workers.iter().filter(serves).map(|worker| u64::from(worker.slots)).sum();
    (slots > 0).then_some(slots)
}

/// Contradictions among `values` that involve a key for which `sets` is true.
fn contradictions(
    values: &Values,
    sets: impl Fn(&str) -> bool,
    slots: Option<u64>,
    longest_deadline: Duration,
) -> Vec<Contradiction> {
    let mut found = Vec::new();
    if values.reserve == WHOLE_MILLI && values.batch && !values.drain {
        let key = ["reserve", "batch"].into_iter().find(|key| sets(key));
        let detail = "the whole worker is reserved for quick work, and batch work may start";
        let remedy = "lower `reserve`, or set `batch = false`";
        found.extend(key.map(|key| (key, detail.to_owned(), remedy)));
    }
    let share_milli = u64::from(values.caller_share);
    if let Some(slots) = slots.filter(|slots| slots * share_milli < u64::from(WHOLE_MILLI))
        && sets("caller_share")
    {
        let detail = format!("the share of a caller is below one of the {slots} slots");
        found.push(("caller_share", detail, "raise `caller_share`"));
    }
    if values.quick_deadline > longest_deadline && sets("quick_deadline") {
        let (given, longest) =
            (values.quick_deadline.as_secs_f64(), longest_deadline.as_secs_f64());
        let detail = format!(
            "the deadline of {given} s is above the `longest_deadline` of entries, {longest} s, \
             which also ends watches"
        );
        found.push(("quick_deadline", detail, "lower `quick_deadline`, or raise that setting"));
    }
    found
}

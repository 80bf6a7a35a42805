//! Shows why tasks do not run: in log lines, metrics and the dump.

use super::Entry;
use super::ownership::Ownership;
use serde_json::json;
use shallotflow_core::graph::Id;
use shallotflow_core::time::{Clock, Time};
use shallotflow_policy::plan::waits::{Bounds, Report, Scope};
use shallotflow_runtime::clock::Boottime;
use std::rc::Rc;

/// Reports what waits at a fixed interval until the process ends.
pub(super) async fn follow(entry: Rc<Entry>) {
    loop {
        monoio::time::sleep(entry.settings.wait_interval).await;
        let now = Boottime.now();
        let may_start = entry.has_no_successor(now);
        let mut ownership = entry.ownership.borrow_mut();
        let Some(ownership) = &mut *ownership else { continue };
        let report = survey(ownership, may_start, ownership.waits.after(), now);
        for line in ownership.waits.apply(&report, now) {
            crate::log::line("wait", &line);
        }
        let left_out = ownership.waits.take_left_out();
        if left_out > 0 {
            spdlog::warn!("waits left out", kv: { count = left_out });
        }
        if let Some(sums) = ownership.waits.take_sums() {
            super::meters::waits(&sums);
        }
        super::meters::remnants(report.remnants);
    }
}

/// Describes what waits in the first jobs, the longest waits first.
pub(super) fn dump(ownership: &Ownership, may_start: bool, now: Time) -> serde_json::Value {
    let mut report = survey(ownership, may_start, None, now);
    report.groups.sort_by_key(|group| group.since);
    let lines = report.groups.iter().map(|group| ownership.waits.describe(group, now));
    json!({
        "groups": lines.collect::<Vec<_>>(),
        "last_job": report.last.map(|id| id.to_string()),
        "omitted": report.omitted,
        "remnants": report.remnants,
    })
}

fn survey(ownership: &Ownership, may_start: bool, after: Option<Id>, now: Time) -> Report {
    let holders = &ownership.holders;
    ownership.table.waits(&Scope { now, holders, may_start, after, bounds: Bounds::default() })
}

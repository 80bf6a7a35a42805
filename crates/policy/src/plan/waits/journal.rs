use super::{Change, Group, Line, Reason, Report, Sum};
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of steps whose waits are followed.
const MAX_STEPS: usize = 8_192;
/// Maximum number of lines for each report.
const MAX_LINES: usize = 50;

/// A job, a repetition and a step.
type Key = (Id, u32, u16);

/// The wait of a step as it was last reported: that of the task which has waited longest.
#[derive(Clone, Debug)]
struct Seen {
    group: Group,
    /// Number of tasks of the step that wait for other reasons.
    others: u32,
    /// When the reason was first reported.
    reason_since: Time,
    /// The reason in the last line.
    logged: Option<Reason>,
    /// No line before this time, so that a wait whose reason alternates does not fill the log.
    quiet_until: Time,
}

/// The waits that have been reported and logged.
#[derive(Clone, Debug)]
pub struct Journal {
    /// Waits of at least this length are logged; also the shortest time between two lines on a step.
    logged_from: Duration,
    seen: BTreeMap<Key, Seen>,
    /// The last job of the latest report, if jobs follow.
    last: Option<Id>,
    /// Sums over the reports since the one that began with the first job.
    sums: BTreeMap<Reason, Sum>,
    /// Number of lines and of steps that were left out since it was last taken.
    left_out: u64,
}

fn key(task: &Task) -> Key {
    (task.job, task.occurrence, task.step)
}

impl Journal {
    /// Creates a journal that logs waits from `logged_from` on.
    pub fn new(logged_from: Duration) -> Self {
        Self { logged_from, seen: BTreeMap::new(), last: None, sums: BTreeMap::new(), left_out: 0 }
    }

    /// Returns the job after which the next report has to begin; `None` for the first job.
    pub fn after(&self) -> Option<Id> {
        self.last
    }

    /// Returns the number of lines and tasks that were left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }

    /// Returns the sums by reason once the reports have covered all jobs.
    pub fn take_sums(&mut self) -> Option<BTreeMap<Reason, Sum>> {
        self.last.is_none().then(|| std::mem::take(&mut self.sums))
    }

    /// Applies a report. Returns the lines to log, the longest waits first.
    pub fn apply(&mut self, report: &Report, now: Time) -> Vec<Line> {
        self.last = report.last;
        self.left_out += report.omitted;
        for group in &report.groups {
            let sum = self.sums.entry(group.reason).or_default();
            sum.tasks += u64::from(group.tasks);
            sum.longest = sum.longest.max(now.since(group.since));
        }
        let steps = longest_by_step(&report.groups);
        let mut ended = Vec::new();
        self.seen.retain(|key, seen| {
            let stays = !report.covers(key.0) || steps.contains_key(key);
            if !stays && seen.logged.is_some() {
                ended.push(seen.clone());
            }
            stays
        });
        for (key, (group, others)) in steps {
            self.observe(key, group, others, now);
        }
        let mut lines: Vec<Line> = ended.iter().map(|seen| seen.line(Change::Ended, now)).collect();
        let mut due: Vec<&mut Seen> =
            self.seen.values_mut().filter(|seen| seen.is_due(self.logged_from, now)).collect();
        due.sort_by_key(|seen| seen.group.since);
        for seen in due {
            if lines.len() < MAX_LINES {
                let change = if seen.logged.is_some() { Change::Changed } else { Change::Waits };
                lines.push(seen.line(change, now));
                seen.logged = Some(seen.group.reason);
                seen.quiet_until = now.after(self.logged_from);
            } else {
                self.left_out += 1;
            }
        }
        let excess = lines.len().saturating_sub(MAX_LINES);
        lines.truncate(MAX_LINES);
        self.left_out += u64::try_from(excess).unwrap_or(u64::MAX);
        lines
    }

    /// Describes a group as in a log line, for operators.
    pub fn describe(&self, group: &Group, now: Time) -> Line {
        let seen = self.seen.get(&key(&group.task));
        let same = seen.filter(|seen| seen.group.reason == group.reason);
        let since = same.map_or(now, |seen| seen.reason_since);
        Line::new(Change::Waits, group, 0, since, now)
    }

    fn observe(&mut self, key: Key, group: &Group, others: u32, now: Time) {
        let known = self.seen.len();
        match self.seen.get_mut(&key) {
            Some(seen) => {
                if seen.group.reason != group.reason {
                    seen.reason_since = now;
                }
                (seen.group, seen.others) = (group.clone(), others);
            }
            None if known < MAX_STEPS => {
                let group = group.clone();
                let seen = Seen {
                    group,
                    others,
                    reason_since: now,
                    logged: None,
                    quiet_until: Time::ZERO,
                };
                self.seen.insert(key, seen);
            }
            None => self.left_out += 1,
        }
    }
}

impl Seen {
    fn line(&self, change: Change, now: Time) -> Line {
        Line::new(change, &self.group, self.others, self.reason_since, now)
    }

    /// Returns whether the wait is to be logged. A repetition that is not due waits as its caller asked.
    fn is_due(&self, logged_from: Duration, now: Time) -> bool {
        self.group.since.after(logged_from).passed(now)
            && self.logged != Some(self.group.reason)
            && self.group.reason != Reason::NotDue
            && self.quiet_until.passed(now)
    }
}

/// Returns the group with the longest wait of each step, and the number of its other tasks that wait.
fn longest_by_step(groups: &[Group]) -> BTreeMap<Key, (&Group, u32)> {
    let mut steps: BTreeMap<Key, (&Group, u32)> = BTreeMap::new();
    for group in groups {
        let (longest, others) = steps.entry(key(&group.task)).or_insert((group, 0));
        if std::ptr::eq(*longest, group) {
            continue;
        }
        let (former, latter) =
            if group.since < longest.since { (*longest, group) } else { (group, *longest) };
        *others = others.saturating_add(former.tasks);
        *longest = latter;
    }
    steps
}

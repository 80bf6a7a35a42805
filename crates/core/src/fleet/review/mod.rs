//! Review of a valid configuration before it is applied.
//!
//! - [`review()`]: finds exceptions without effect and limits that contradict each other.
//! - [`differences()`]: compares two configurations.
//! - [`Fleet`]: what is known of the workers and entries that the configuration is for.
//! - [`Finding`], [`Difference`]: the results.
//!
//! All of them are pure functions of their arguments.

mod difference;
mod effect;
mod finding;
mod fleet;
mod limits;

pub use difference::{Change, Difference, differences};
pub use finding::{Finding, Kind};
pub use fleet::{Fleet, Worker};

use super::Config;

/// Returns the findings at `unix_now_s`, in seconds since the Unix epoch, in the order of the text.
pub fn review(config: &Config, fleet: &Fleet, unix_now_s: u64) -> Vec<Finding> {
    let mut findings = limits::of_defaults(config, fleet);
    for (index, exception) in config.exceptions.iter().enumerate() {
        if !exception.is_in_force(unix_now_s) {
            findings.push(Finding::expired(exception));
            continue;
        }
        findings.extend(effect::unmatched(exception, fleet));
        findings.extend(effect::without_effect(config, index, unix_now_s));
        findings.extend(limits::of_exception(config, exception, fleet, unix_now_s));
    }
    findings
}

use serde::Serialize;

/// What a log line on a wait says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The tasks of a step wait for long.
    Waits,
    /// They wait for another reason than the last line said.
    Changed,
    /// No task of the step waits any more.
    Ended,
}

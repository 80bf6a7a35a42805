//! Why tasks of open steps do not run.
//!
//! - [`Reason`]: the rule that holds a task.
//! - [`Group`]: the tasks of one step that one rule holds.
//! - [`Report`]: the groups of a part of the jobs.
//! - [`Scope`], [`Bounds`]: what a report covers.
//! - [`Journal`]: what has been reported, from which log lines and sums follow.
//! - [`Line`], [`Change`]: a log line.
//! - [`Sum`]: the tasks that one rule holds.
//! - `survey`: the query over the table, which decides and changes nothing.

mod bounds;
mod change;
mod group;
mod journal;
mod line;
mod reason;
mod report;
mod scope;
mod sum;
mod survey;

pub use bounds::Bounds;
pub use change::Change;
pub use group::Group;
pub use journal::Journal;
pub use line::Line;
pub use reason::Reason;
pub use report::Report;
pub use scope::Scope;
pub use sum::Sum;

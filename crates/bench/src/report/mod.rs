//! Reports the results of experiments as JSON, tables and a page with plots.

mod batch;
mod comparison;
mod page;
mod plot;
mod quick;
mod summary;
mod table;
mod violations;

pub use batch::Batch;
pub use comparison::{Comparison, Criterion, Round};
pub use page::page;
pub use quick::Quick;
pub(crate) use quick::percentile_ms;
pub use summary::Summary;
pub use table::{comparison, faults, rows, summary};
pub use violations::Violations;

/// An error while making a report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A plot cannot be drawn.
    #[error("a plot cannot be drawn ({0}); write the results as JSON instead")]
    Plot(String),
}

/// The result of making a report.
pub type Result<T> = std::result::Result<T, Error>;

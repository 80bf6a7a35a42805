//! What an experiment found, as JSON, as a table and as a page with plots.

mod batch;
mod comparison;
mod quick;
mod summary;
mod table;
mod violations;

pub use batch::Batch;
pub use comparison::{Comparison, Round, Row};
pub use quick::Quick;
pub(crate) use quick::percentile_ms;
pub use summary::Summary;
pub use table::{comparison, faults, summary};
pub use violations::Violations;

//! What an experiment found, as JSON, as a table and as a page with plots.

mod batch;
mod quick;
mod summary;
mod table;
mod violations;

pub use batch::Batch;
pub use quick::Quick;
pub(crate) use quick::percentile_ms;
pub use summary::Summary;
pub use table::{comparison, summary};
pub use violations::Violations;

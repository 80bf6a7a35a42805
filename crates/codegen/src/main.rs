//! Generates the committed message code of `shallotflow-wire` and `shallotflow-store`.
//!
//! Run `cargo run -p shallotflow-codegen` after a change to a schema and commit the result.

use anyhow::{Context, Result};
use std::path::Path;

fn main() -> Result<()> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for schema in shallotflow_codegen::SCHEMAS {
        let out = crates.join(schema.output);
        shallotflow_codegen::generate(&crates, schema, &out)
            .with_context(|| format!("generating {} from {}", schema.output, schema.input))?;
        println!("wrote {}", schema.output);
    }
    Ok(())
}

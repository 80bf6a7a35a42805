//! Generates the committed message code and the reference pages of the documentation.
//!
//! Run `cargo run -p shallotflow-codegen` after a change to a schema, a setting, an error code, a
//! metric or the command line, and commit the result.

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
    for page in shallotflow_codegen::page::all() {
        let path = crates.join("..").join(page.path);
        std::fs::write(&path, &page.text).with_context(|| format!("writing {}", page.path))?;
        println!("wrote {}", page.path);
    }
    Ok(())
}

//! Generation of message code from schemas, without an external compiler, and of the reference
//! pages from the tables in the code.

pub mod page;

use anyhow::{Context, Result};
use std::path::Path;

/// A schema and the place of its generated code, relative to `crates/`.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// Directory of the schema.
    pub directory: &'static str,
    /// File name of the schema.
    pub input: &'static str,
    /// Directory that takes the generated file.
    pub output: &'static str,
}

/// Every schema of the workspace.
pub const SCHEMAS: &[Schema] = &[
    Schema { directory: "wire/proto", input: "shallotflow.proto", output: "wire/src/generated" },
    Schema { directory: "store/proto", input: "rpc.proto", output: "store/src/generated" },
    Schema {
        directory: "scheduler/proto",
        input: "peers.proto",
        output: "scheduler/src/generated",
    },
];

/// Writes the code of `schema` into `out`.
///
/// # Errors
///
/// Fails when the schema does not parse or `out` cannot be written.
pub fn generate(crates: &Path, schema: &Schema, out: &Path) -> Result<()> {
    let directory = crates.join(schema.directory);
    let descriptors = protox::compile([schema.input], [&directory])
        .with_context(|| format!("parsing {}", schema.input))?;
    std::fs::create_dir_all(out).with_context(|| format!("creating {}", out.display()))?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(out)
        .compile_fds(descriptors)
        .context("generating code")
}

//! Generates message code from protobuf schemas, without an external compiler, and reference pages
//! from tables in the code.

pub mod page;

use anyhow::{Context, Result};
use std::path::Path;

/// A schema and the location of its generated code; paths are relative to `crates/`.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// The directory of the schema.
    pub directory: &'static str,
    /// The file name of the schema.
    pub input: &'static str,
    /// The output directory of the generated code.
    pub output: &'static str,
}

/// All schemas of the workspace.
pub const SCHEMAS: &[Schema] = &[
    Schema { directory: "wire/proto", input: "shallotflow.proto", output: "wire/src/generated" },
    Schema { directory: "store/proto", input: "rpc.proto", output: "store/src/generated" },
    Schema {
        directory: "scheduler/proto",
        input: "peers.proto",
        output: "scheduler/src/generated",
    },
];

/// Generates the code of `schema` in the directory `out`; `crates` is the path of `crates/`.
///
/// # Errors
///
/// Fails if the schema cannot be parsed or `out` cannot be written.
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

//! The committed message code and reference pages are up to date with their sources.

use shallotflow_codegen::{SCHEMAS, generate};
use std::path::Path;

#[test]
fn committed_code_is_up_to_date() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for schema in SCHEMAS {
        let generated = Path::new(env!("CARGO_TARGET_TMPDIR")).join(schema.output);
        generate(&crates, schema, &generated).expect("the schema is valid");
        for file in std::fs::read_dir(&generated).expect("code was generated") {
            let file = file.expect("a readable entry");
            let committed = crates.join(schema.output).join(file.file_name());
            let generated = std::fs::read_to_string(file.path()).expect("generated code");
            let committed = std::fs::read_to_string(&committed).expect("committed code");
            assert_eq!(generated, committed, "run `cargo run -p shallotflow-codegen` and commit");
        }
    }
}

#[test]
fn reference_pages_are_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for page in shallotflow_codegen::page::all() {
        let committed = std::fs::read_to_string(root.join(page.path)).expect("a committed page");
        let hint = "run `cargo run -p shallotflow-codegen` and commit";
        assert_eq!(committed, page.text, "{}: {hint}", page.path);
    }
}

//! A short soak with a fixed seed.

use std::process::Command;

#[test]
fn a_short_soak_violates_no_guarantee() {
    // The other programs are in the directory of the soak once the workspace is built.
    let output = Command::new(env!("CARGO_BIN_EXE_shallotflow-soak"))
        .args(["--seed", "1", "--minutes", "0.1", "--processes", "10"])
        .output()
        .expect("a soak");
    let (out, err) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{out}{err}");
}

#[test]
fn too_few_processes_are_refused_with_the_valid_range() {
    let output = Command::new(env!("CARGO_BIN_EXE_shallotflow-soak"))
        .args(["--processes", "5"])
        .output()
        .expect("a soak");
    assert_eq!(output.status.code(), Some(2));
    let err = String::from_utf8_lossy(&output.stderr);
    assert!(err.contains("ask for 6 to 300"), "{err}");
}

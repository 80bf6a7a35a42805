//! Consistency of the documentation: links, the summary and the metrics.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn files(directory: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            files(&path, extension, found);
        } else if path.extension().is_some_and(|own| own == extension) {
            found.push(path);
        }
    }
}

/// The local files that a page links to; external URLs and anchors within the page are skipped.
fn links(page: &Path) -> Vec<PathBuf> {
    let text = std::fs::read_to_string(page).expect("a readable page");
    let directory = page.parent().expect("a directory");
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let local = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    local.map(|target| directory.join(target.split('#').next().unwrap_or_default())).collect()
}

#[test]
fn every_link_points_to_an_existing_file() {
    let mut all = vec![docs().join("../README.md"), docs().join("../CONTRIBUTING.md")];
    files(&docs(), "md", &mut all);
    for page in all {
        for link in links(&page) {
            assert!(link.exists(), "{} links to {}", page.display(), link.display());
        }
    }
}

#[test]
fn the_summary_lists_every_page() {
    let summary = docs().join("SUMMARY.md");
    let canonical = |path: &PathBuf| path.canonicalize().ok();
    let listed: BTreeSet<PathBuf> = links(&summary).iter().filter_map(canonical).collect();
    let mut all = Vec::new();
    files(&docs(), "md", &mut all);
    for page in all.iter().filter(|page| **page != summary) {
        let page = canonical(page).expect("an existing page");
        assert!(listed.contains(&page), "SUMMARY.md leaves out {}", page.display());
    }
}

#[test]
fn every_documented_metric_is_recorded() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let catalogue =
        std::fs::read_to_string(crates.join("core/src/metric.rs")).expect("a catalogue");
    let mut sources = Vec::new();
    files(&crates, "rs", &mut sources);
    let recording: Vec<String> = sources
        .iter()
        .filter(|path| !path.ends_with("core/src/metric.rs"))
        .map(|path| std::fs::read_to_string(path).expect("a source"))
        .collect();
    let constants =
        catalogue.lines().filter_map(|line| line.trim().split_once(" = \"shallotflow_"));
    for (constant, _) in constants {
        let used = format!("metric::{constant}");
        assert!(recording.iter().any(|source| source.contains(&used)), "{used} is never recorded");
    }
}

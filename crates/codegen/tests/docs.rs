//! The pages of the documentation hold together.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn pages(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

/// The files that a page links to, without anchors and addresses of other hosts.
fn links(page: &Path) -> Vec<PathBuf> {
    let text = std::fs::read_to_string(page).expect("a readable page");
    let directory = page.parent().expect("a directory");
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let local = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    local.map(|target| directory.join(target.split('#').next().unwrap_or_default())).collect()
}

#[test]
fn the_summary_lists_every_page() {
    let summary = docs().join("SUMMARY.md");
    let canonical = |path: &PathBuf| path.canonicalize().ok();
    let listed: BTreeSet<PathBuf> = links(&summary).iter().filter_map(canonical).collect();
    let mut all = Vec::new();
    pages(&docs(), &mut all);
    for page in all.iter().filter(|page| **page != summary) {
        let page = canonical(page).expect("an existing page");
        assert!(listed.contains(&page), "SUMMARY.md leaves out {}", page.display());
    }
}

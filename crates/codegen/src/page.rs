//! Reference pages generated from tables in the code.

use shallotflow_core::metric;
use shallotflow_core::problem::Code;
use shallotflow_core::settings;

/// A generated page of the documentation.
#[derive(Clone, Debug)]
pub struct Page {
    /// The path relative to the root of the repository.
    pub path: &'static str,
    /// The Markdown text.
    pub text: String,
}

/// All generated pages.
pub fn all() -> Vec<Page> {
    vec![
        Page { path: "docs/reference/settings.md", text: settings::reference::page() },
        Page { path: "docs/reference/cli.md", text: shallotflow_cli::reference::page() },
        Page { path: "docs/reference/errors.md", text: errors() },
        Page { path: "docs/reference/metrics.md", text: metrics() },
    ]
}

fn errors() -> String {
    let mut page = String::from(
        "# Errors and remedies\n\n\
         Errors returned to callers are `application/problem+json` documents. Each contains one of\n\
         these codes, the `outcome` (`not-run` or `unknown`), a detail with the relevant values,\n\
         and the remedy. A request with the outcome `not-run` was not executed and never will\n\
         be; after `unknown` it may have been executed, so retry it only if it is idempotent.\n\n\
         This page is generated from the code by `cargo run -p shallotflow-codegen`.\n\n\
         | code | HTTP status | remedy |\n|---|---|---|\n",
    );
    for code in Code::ALL {
        let (name, status, remedy) = (code.as_str(), code.status(), code.remedy());
        page.push_str(&format!("| `{name}` | {status} | {remedy} |\n"));
    }
    page
}

fn metrics() -> String {
    let mut page = String::from(
        "# Metrics\n\n\
         Each process serves its metrics in the Prometheus text format at `/metrics` on its\n\
         operators' listener. Counters start at zero with the process.\n\n\
         This page is generated from the code by `cargo run -p shallotflow-codegen`.\n\n\
         | metric | kind | labels | meaning |\n|---|---|---|---|\n",
    );
    for metric in metric::ALL {
        let metric::Metric { name, kind, labels, description } = metric;
        page.push_str(&format!("| `{name}` | {} | {labels} | {description} |\n", kind.as_str()));
    }
    page
}

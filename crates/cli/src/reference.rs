//! Generates the reference page of the command line from its argument definitions.

use crate::command::command;
use crate::error::EXIT_CODES;
use bpaf::Args;

/// Renders the page as Markdown.
pub fn page() -> String {
    let mut page = String::from(
        "# Command line\n\n\
         This page is generated from the code by `cargo run -p shallotflow-codegen`.\n\n\
         ## Exit codes\n\n| code | meaning |\n|---|---|\n",
    );
    for exit in EXIT_CODES {
        page.push_str(&format!("| {} | {} |\n", exit.code, exit.meaning));
    }
    let commands: [&[&str]; 20] = [
        &[],
        &["check"],
        &["apply"],
        &["show"],
        &["except"],
        &["except", "add"],
        &["except", "list"],
        &["except", "remove"],
        &["targets"],
        &["jobs"],
        &["drain"],
        &["evacuate"],
        &["dump"],
        &["submit"],
        &["status"],
        &["graph"],
        &["graph", "submit"],
        &["graph", "status"],
        &["graph", "cancel"],
        &["graph", "waiting"],
    ];
    for subcommands in commands.iter().copied().chain([&["cancel"][..]]) {
        push_section(&mut page, subcommands);
    }
    page
}

fn push_section(page: &mut String, subcommands: &[&str]) {
    let arguments: Vec<&str> = subcommands.iter().copied().chain(["--help"]).collect();
    let Err(failure) = command().run_inner(Args::from(&arguments[..]).set_name("shallotflow"))
    else {
        return;
    };
    let name: Vec<&str> = ["shallotflow"].into_iter().chain(subcommands.iter().copied()).collect();
    let help = failure.unwrap_stdout();
    let lines: Vec<&str> = help.lines().map(str::trim_end).collect();
    let text = lines.join("\n");
    page.push_str(&format!("\n## {}\n\n```text\n{}\n```\n", name.join(" "), text.trim_end()));
}

//! The reference page of the command line, made from the definitions of its arguments.

use crate::command::command;
use crate::error::EXITS;
use bpaf::Args;

/// The page as Markdown.
pub fn page() -> String {
    let mut page = String::from(
        "# Command line\n\n\
         This page is generated from the code by `cargo run -p shallotflow-codegen`.\n\n\
         ## Exit codes\n\n| code | meaning |\n|---|---|\n",
    );
    for exit in EXITS {
        page.push_str(&format!("| {} | {} |\n", exit.code, exit.meaning));
    }
    let commands: [&[&str]; 19] = [
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
        &["dump"],
        &["submit"],
        &["status"],
        &["graph"],
        &["graph", "submit"],
        &["graph", "status"],
        &["graph", "cancel"],
        &["graph", "waiting"],
    ];
    for words in commands.iter().copied().chain([&["cancel"][..]]) {
        push(&mut page, words);
    }
    page
}

fn push(page: &mut String, words: &[&str]) {
    let arguments: Vec<&str> = words.iter().copied().chain(["--help"]).collect();
    let Err(failure) = command().run_inner(Args::from(&arguments[..]).set_name("shallotflow"))
    else {
        return;
    };
    let name: Vec<&str> = ["shallotflow"].into_iter().chain(words.iter().copied()).collect();
    let help = failure.unwrap_stdout();
    let lines: Vec<&str> = help.lines().map(str::trim_end).collect();
    let text = lines.join("\n");
    page.push_str(&format!("\n## {}\n\n```text\n{}\n```\n", name.join(" "), text.trim_end()));
}

//! Errors of commands and their exit codes.

use crate::output::Format;
use serde_json::json;
use shallotflow_core::fleet::Conflict;
use shallotflow_core::ini;
use shallotflow_core::problem::{Code, Problem};

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// A command error; the message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or a value is invalid; nothing was written.
    #[error("{0}")]
    Ini(#[from] ini::Error),
    /// An argument is invalid.
    #[error("{0}")]
    Argument(String),
    /// The edit conflicts with an edit that was applied earlier.
    #[error("{}", conflict_message(.revision, .conflicts))]
    Conflict {
        /// The revision of the other edit.
        revision: i64,
        /// The sections that both edits changed.
        conflicts: Vec<Conflict>,
    },
    /// The store no longer keeps the text that the edit is based on.
    #[error(
        "the file is based on revision {base}, which is no longer kept; revision {current} is in \
         force: run `shallotflow show`, redo the edit and apply it"
    )]
    BaseUnavailable {
        /// The revision that the edit is based on.
        base: i64,
        /// The revision in force.
        current: i64,
    },
    /// The file does not name its base revision.
    #[error(
        "the file does not name the revision that it is based on, and revision {0} is in force: \
         start from `shallotflow show`, or give --base REVISION, or --replace to discard the \
         configuration in force"
    )]
    BaseUnspecified(i64),
    /// It is unknown whether a change was applied.
    #[error(
        "it is unknown whether change {id} was applied ({reason}); run the command again with \
         --change {id}, which applies it at most once"
    )]
    OutcomeUnknown {
        /// The identifier of the change.
        id: String,
        /// The failure that lost the outcome.
        reason: String,
    },
    /// Concurrent changes were committed first on every attempt.
    #[error("concurrent changes were applied first in all {0} attempts; run the command again")]
    Contended(u32),
    /// The store is unavailable; nothing was written.
    #[error("the store cannot be used: {0}")]
    Store(#[from] shallotflow_store::error::Error),
    /// A named object does not exist.
    #[error("{0}")]
    NotFound(String),
    /// An entry refused or failed a request.
    #[error("{} ({}): {}; {}", .0.code.as_str(), .0.outcome, .0.detail, .0.remedy)]
    Problem(Box<Problem>),
    /// A process is unreachable, or its response cannot be read.
    #[error("{address} {detail}")]
    Unreachable {
        /// The address of the process.
        address: String,
        /// The failure and the remedy.
        detail: String,
    },
    /// A file cannot be read or written, a system call fails, or a record cannot be parsed.
    #[error("{0}")]
    System(String),
}

/// An exit code and its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExitCode {
    /// The exit code.
    pub code: u8,
    /// The outcome that the code stands for.
    pub meaning: &'static str,
}

/// The exit code of `check` if a valid configuration has findings.
pub const EXIT_FINDINGS: u8 = 6;

/// The exit codes, for the reference page.
pub const EXIT_CODES: &[ExitCode] = &[
    ExitCode { code: 0, meaning: "done" },
    ExitCode { code: 1, meaning: "failed: a process or the store cannot be reached or refuses" },
    ExitCode { code: 2, meaning: "refused before anything was written: arguments, file or value" },
    ExitCode { code: 3, meaning: "conflict: another edit came first and overlaps" },
    ExitCode {
        code: 4,
        meaning: "unknown: it may have been applied; the message gives the remedy",
    },
    ExitCode { code: 5, meaning: "not found" },
    ExitCode { code: EXIT_FINDINGS, meaning: "`check` has findings in a valid configuration" },
];

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Store(error) if error.may_be_applied() => 4,
            Self::Store(_) | Self::Unreachable { .. } | Self::System(_) | Self::Contended(_) => 1,
            Self::Ini(_) | Self::Argument(_) | Self::BaseUnspecified(_) => 2,
            Self::Conflict { .. } | Self::BaseUnavailable { .. } => 3,
            Self::OutcomeUnknown { .. } => 4,
            Self::NotFound(_) => 5,
            Self::Problem(problem) => problem_exit_code(problem),
        }
    }

    /// Renders the error in the given format.
    pub fn render(&self, format: Format) -> String {
        if !format.json {
            return format!("shallotflow: {self}\n");
        }
        let conflicts = match self {
            Self::Conflict { conflicts, .. } => conflicts.as_slice(),
            _ => &[],
        };
        let message = self.to_string();
        let exit_code = self.exit_code();
        format!("{:#}\n", json!({ "error": message, "exit_code": exit_code, "clashes": conflicts }))
    }
}

fn problem_exit_code(problem: &Problem) -> u8 {
    use shallotflow_core::outcome::Outcome;
    match (problem.code, problem.outcome) {
        (Code::UnknownJob | Code::UnknownKind | Code::NotFound, _) => 5,
        (_, Outcome::Unknown) => 4,
        (Code::Malformed | Code::BadHeader | Code::BadDeadline | Code::NeverFits, _) => 2,
        (Code::KeyReused, _) => 3,
        _ => 1,
    }
}

fn conflict_message(revision: &i64, conflicts: &[Conflict]) -> String {
    let mut text = format!(
        "another edit (revision {revision}) changed the same sections first; start again \
         from `shallotflow show`"
    );
    for conflict in conflicts {
        let theirs = conflict.theirs.as_deref().unwrap_or("(removed)\n");
        let ours = conflict.ours.as_deref().unwrap_or("(removed)\n");
        text.push_str(&format!(
            "\n--- {}, in force:\n{theirs}+++ yours:\n{ours}",
            conflict.section
        ));
    }
    text.trim_end().to_owned()
}

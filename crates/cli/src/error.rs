//! Why a command failed.

use crate::answer::Output;
use serde_json::json;
use shallotflow_core::fleet::Conflict;
use shallotflow_core::ini;
use shallotflow_core::problem::{Code, Problem};

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure whose message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or a value was refused before anything was written.
    #[error("{0}")]
    Ini(#[from] ini::Error),
    /// An argument is not accepted.
    #[error("{0}")]
    Argument(String),
    /// The edit overlaps with another one, which came first.
    #[error("{}", conflict(.revision, .clashes))]
    Conflict {
        /// The revision of the other edit.
        revision: i64,
        /// What both changed.
        clashes: Vec<Conflict>,
    },
    /// The text that was edited is not known any more.
    #[error(
        "the file is an edit of revision {base}, whose text is not kept; revision {current} is in \
         force: run `shallotflow show`, redo the edit and apply it"
    )]
    BaseGone {
        /// The revision that was edited.
        base: i64,
        /// The revision in force.
        current: i64,
    },
    /// The file does not say what it is an edit of.
    #[error(
        "the file does not say which revision it is an edit of, and revision {0} is in force: \
         start from `shallotflow show`, or give --base REVISION, or --replace to discard what is \
         in force"
    )]
    BaseMissing(i64),
    /// Whether a change was applied cannot be told.
    #[error(
        "whether change {id} was applied is not known ({reason}); run the command again with \
         --change {id}, which applies it at most once"
    )]
    Unsettled {
        /// The identifier of the change.
        id: String,
        /// What happened.
        reason: String,
    },
    /// Others changed the configuration again and again meanwhile.
    #[error("others changed the configuration {0} times meanwhile; run the command again")]
    Contended(u32),
    /// The store does not answer; nothing was written.
    #[error("the store cannot be used: {0}")]
    Store(#[from] shallotflow_store::error::Error),
    /// Something that was named does not exist.
    #[error("{0}")]
    NotFound(String),
    /// An entry refused or failed a request.
    #[error("{} ({}): {}; {}", .0.code.as_str(), .0.outcome, .0.detail, .0.remedy)]
    Problem(Box<Problem>),
    /// A process cannot be reached, or its answer cannot be read.
    #[error("{address} {detail}")]
    Unreachable {
        /// The address of the process.
        address: String,
        /// What happened, and the remedy.
        detail: String,
    },
    /// A file cannot be read or written, or the system refuses something.
    #[error("{0}")]
    System(String),
}

/// An exit code and its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exit {
    /// The code.
    pub code: u8,
    /// When it is given.
    pub meaning: &'static str,
}

/// The exit codes, for the reference page.
pub const EXITS: &[Exit] = &[
    Exit { code: 0, meaning: "done" },
    Exit { code: 1, meaning: "failed: a process or the store cannot be reached or refuses" },
    Exit { code: 2, meaning: "refused before anything was written: arguments, file or value" },
    Exit { code: 3, meaning: "conflict: another edit came first and overlaps" },
    Exit { code: 4, meaning: "unknown: it may have been applied; the message says how to settle" },
    Exit { code: 5, meaning: "not found" },
];

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Store(error) if error.may_be_applied() => 4,
            Self::Store(_) | Self::Unreachable { .. } | Self::System(_) | Self::Contended(_) => 1,
            Self::Ini(_) | Self::Argument(_) | Self::BaseMissing(_) => 2,
            Self::Conflict { .. } | Self::BaseGone { .. } => 3,
            Self::Unsettled { .. } => 4,
            Self::NotFound(_) => 5,
            Self::Problem(problem) => problem_exit_code(problem),
        }
    }

    /// The text to print.
    pub fn render(&self, output: Output) -> String {
        if !output.json {
            return format!("shallotflow: {self}\n");
        }
        let clashes = match self {
            Self::Conflict { clashes, .. } => clashes.as_slice(),
            _ => &[],
        };
        let message = self.to_string();
        let exit_code = self.exit_code();
        format!("{:#}\n", json!({ "error": message, "exit_code": exit_code, "clashes": clashes }))
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

fn conflict(revision: &i64, clashes: &[Conflict]) -> String {
    let mut text = format!(
        "another edit came first (revision {revision}) and changed the same sections; start again \
         from `shallotflow show`"
    );
    for clash in clashes {
        let theirs = clash.theirs.as_deref().unwrap_or("(removed)\n");
        let ours = clash.ours.as_deref().unwrap_or("(removed)\n");
        text.push_str(&format!("\n--- {}, in force:\n{theirs}+++ yours:\n{ours}", clash.section));
    }
    text.trim_end().to_owned()
}

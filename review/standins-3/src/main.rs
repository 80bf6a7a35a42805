//! Runs one case: `review-standins-3 CASE FOLDER`; `TROUBLE=0` leaves the disruption out.
mod check;
mod crashes;
mod fleet;
mod http;
mod json;
mod site;
mod slow;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case has found: whether the rule held, and what was seen.
pub struct Verdict {
    pub held: bool,
    pub text: String,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-standins-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let record = folder.join("record.txt");
    let run: fn(&Path, &Path, bool) -> Result<Verdict, String> = match case.as_str() {
        "crashes" => crashes::run,
        "slow" => slow::run,
        _ => {
            eprintln!("no such case");
            return ExitCode::from(2);
        }
    };
    match run(&root, &record, trouble) {
        Ok(verdict) => {
            println!("{}", verdict.text);
            ExitCode::from(u8::from(!verdict.held))
        }
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}

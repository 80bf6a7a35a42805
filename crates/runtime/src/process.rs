//! A `main` that reads settings and runs a program until it stops.

use crate::executor;
use crate::stop::{Level, Stop};
use bpaf::{Args, ParseFailure, Parser, construct, long};
use shallotflow_core::ini;
use std::fmt::Debug;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for invalid arguments or settings.
pub const EXIT_REFUSED: u8 = 2;
/// Width in columns of help texts and messages about arguments.
const TERMINAL_WIDTH: usize = 100;

/// A program that is started from a settings file.
pub struct Process<S> {
    /// The name of the binary.
    pub name: &'static str,
    /// Description of the program for `--help`.
    pub about: &'static str,
    /// Reads the settings file.
    pub load: fn(&Path) -> ini::Result<S>,
}

impl<S> Process<S> {
    /// Reads the command line and the settings, runs `run` to completion and returns the exit code.
    ///
    /// The first SIGTERM or SIGINT stops the program gracefully, the second one immediately.
    pub fn main<B, F>(self, run: impl FnOnce(S, Stop, fn(B)) -> F) -> ExitCode
    where
        B: Debug,
        F: Future<Output = anyhow::Result<()>>,
    {
        let config = long("config").help("INI file with the settings").argument("FILE");
        let arguments = construct!(config).to_options().descr(self.about);
        let path: PathBuf = match arguments.run_inner(Args::current_args()) {
            Ok(path) => path,
            Err(failure) => {
                failure.print_message(TERMINAL_WIDTH);
                let refused = matches!(failure, ParseFailure::Stderr(_));
                return ExitCode::from(if refused { EXIT_REFUSED } else { 0 });
            }
        };
        let settings = match (self.load)(&path) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(EXIT_REFUSED);
            }
        };
        match execute(settings, run) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error:#}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}

fn execute<S, B, F>(settings: S, run: impl FnOnce(S, Stop, fn(B)) -> F) -> anyhow::Result<()>
where
    B: Debug,
    F: Future<Output = anyhow::Result<()>>,
{
    let stop = Stop::on_signals()?;
    executor::run(async {
        let immediate = stop.clone();
        monoio::select! {
            result = run(settings, stop, log_addresses::<B>) => result,
            () = immediate.wait(Level::Immediate) => Err(anyhow::anyhow!(
                "stopped at once, by a second signal or because the drain took too long"
            )),
        }
    })?
}

fn log_addresses<B: Debug>(bound: B) {
    spdlog::info!("listening", kv: { bound:? });
}

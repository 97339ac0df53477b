//! The command line program of the rehearsal kit.

mod arguments;
mod error;
mod fault_matrix;
mod output;
mod scenarios;
mod tables;

use arguments::{Arguments, Command};
use clap::Parser;
use error::CommandError;
use linnetknot_rehearse::report::{compare, Report};
use linnetknot_rehearse::scale;
use linnetknot_rehearse::scenario::schema;
use output::{print, STOP};
use signal_hook::consts::SIGINT;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status if a rule was broken.
const RULE_BROKEN: u8 = 1;
/// The exit status if nothing could be played.
const NOT_PLAYED: u8 = 2;

/// Returns the given path of the daemon, or that in the folder of this program.
fn daemon_path(daemon: Option<PathBuf>) -> PathBuf {
    let own = || {
        std::env::current_exe()
            .map(|own| own.with_file_name("linnetknot"))
            .unwrap_or_default()
    };
    daemon.unwrap_or_else(own)
}

/// Plays a purge by CDNI, a drain under redirected requests and a planned shutdown.
fn run_built_in(daemon: Option<PathBuf>) -> ExitCode {
    let daemon = daemon_path(daemon);
    match linnetknot_rehearse::rehearse(&daemon, None) {
        Err(e) => {
            eprintln!(
                "the rehearsal could not be played with {}: {e}",
                daemon.display()
            );
            ExitCode::from(NOT_PLAYED)
        }
        Ok(report) => {
            print!("{report}");
            exit_code(report.breaches.is_empty())
        }
    }
}

/// Returns the exit status of a play.
fn exit_code(is_clean: bool) -> ExitCode {
    match is_clean {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(RULE_BROKEN),
    }
}

/// Reads a result file.
fn read_report(file: &Path) -> Result<Report, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::ReadFile {
        file: file.to_owned(),
        error,
    })?;
    Report::read(&text).map_err(|error| CommandError::ReportFile {
        file: file.to_owned(),
        error,
    })
}

/// Compares two result files.
fn compare_files(a: &Path, b: &Path) -> Result<ExitCode, CommandError> {
    let (a, b) = (read_report(a)?, read_report(b)?);
    print(&compare(&a, &b)?);
    Ok(exit_code(b.breaches.is_empty()))
}

/// Runs a command.
fn run(command: Option<Command>) -> Result<ExitCode, CommandError> {
    match command {
        None => Ok(run_built_in(None)),
        Some(Command::Run(arguments)) => Ok(match &arguments.seeds {
            Some(seeds) => scenarios::run_series(&arguments, seeds),
            None if arguments.scenarios.is_empty() => run_built_in(arguments.daemon),
            None => scenarios::run_all(&arguments),
        }),
        Some(Command::FaultMatrix(arguments)) => fault_matrix::run(arguments),
        Some(Command::Scale(arguments)) => Ok(scale::command::run(&arguments)),
        Some(Command::ScaleDaemons(arguments)) => Ok(scale::daemons::command::run(&arguments)),
        Some(Command::List) => Ok(scenarios::list()),
        Some(Command::Play(arguments)) => Ok(scenarios::play_file(arguments)),
        Some(Command::Compare { a, b }) => compare_files(&a, &b),
        Some(Command::Check { files }) => Ok(scenarios::check(&files)),
        Some(Command::Plan { file, seed }) => scenarios::show_plan(&file, seed),
        Some(Command::Schema) => {
            print(&schema());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    // Ctrl-C only sets the flag, as the program still has to stop the daemons. They are in a process group of their own and do
    // not get the signal.
    if let Err(e) = signal_hook::flag::register(SIGINT, STOP.clone()) {
        eprintln!("the handler of Ctrl-C can't be set: {e}");
    }
    run(Arguments::parse().command).unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(NOT_PLAYED)
    })
}

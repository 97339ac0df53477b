//! Errors of the commands.

use linnetknot_rehearse::report::{CompareError, ReportError};
use linnetknot_rehearse::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error of a command, which ends the program with status 2.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[error("{}: {error}", file.display())]
    ReadFile { file: PathBuf, error: io::Error },
    /// A file is not a valid scenario.
    #[error("{}: {error}", file.display())]
    ScenarioFile {
        file: PathBuf,
        error: Box<ScenarioError>,
    },
    /// A shipped scenario is invalid or can't be scaled.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A file is not a valid result.
    #[error("{}: {error}", file.display())]
    ReportFile { file: PathBuf, error: ReportError },
    /// Two results can't be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// The progress bar's template is invalid.
    #[error(transparent)]
    ProgressBar(#[from] indicatif::style::TemplateError),
    /// The test run failed, for example because the daemon could not be started.
    #[error("could not be played with {}: {error}", daemon.display())]
    Play { daemon: PathBuf, error: io::Error },
    /// A result can't be represented in JSON.
    #[error("the result can't be written: {0}")]
    Result(#[from] ReportError),
    /// A result can't be written to its file.
    #[error("the result can't be written: {}: {error}", file.display())]
    WriteFile { file: PathBuf, error: io::Error },
    /// There is no defect of this name.
    #[error("unknown defect '{0}'")]
    UnknownDefect(String),
}

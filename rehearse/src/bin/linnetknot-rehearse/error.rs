//! Why a command could not do what it was asked for.

use linnetknot_rehearse::report::{CompareError, ReportError};
use linnetknot_rehearse::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command could not do what it was asked for; each ends the program with status 2.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[error("{}: {error}", file.display())]
    ReadFile { file: PathBuf, error: io::Error },
    /// A file holds no scenario.
    #[error("{}: {error}", file.display())]
    ScenarioFile {
        file: PathBuf,
        error: Box<ScenarioError>,
    },
    /// A shipped scenario is unsound, or can't be scaled.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A file holds no result.
    #[error("{}: {error}", file.display())]
    ReportFile { file: PathBuf, error: ReportError },
    /// Two results can't be compared.
    #[error(transparent)]
    Compare(#[from] CompareError),
    /// The progress bar's template is unsound.
    #[error(transparent)]
    ProgressBar(#[from] indicatif::style::TemplateError),
    /// The daemons can't be run.
    #[error("could not be played with {}: {error}", daemon.display())]
    Play { daemon: PathBuf, error: io::Error },
    /// A result has no form in JSON.
    #[error("the result can't be written: {0}")]
    Result(#[from] ReportError),
    /// A result can't be written to its file.
    #[error("the result can't be written: {}: {error}", file.display())]
    WriteFile { file: PathBuf, error: io::Error },
    /// There is no such fault to plant.
    #[error("there is no fault '{0}' to plant")]
    UnknownDefect(String),
}

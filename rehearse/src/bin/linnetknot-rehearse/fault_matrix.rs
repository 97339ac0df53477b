//! The command `fault-matrix`.

use crate::arguments::MatrixArguments;
use crate::daemon_path;
use crate::error::CommandError;
use crate::output::{is_stopped, print};
use linnetknot_rehearse::fault_matrix;
use linnetknot_rehearse::series::run_in_parallel;
use std::io;
use std::process::ExitCode;

/// Returns the fail points of the defect with this name, or none without a name.
fn defect_fail_points(name: Option<&str>) -> Result<&'static str, CommandError> {
    let Some(name) = name else { return Ok("") };
    let defect = fault_matrix::DEFECTS
        .iter()
        .find(|defect| defect.name == name);
    let defect = defect.ok_or_else(|| CommandError::UnknownDefect(name.to_owned()))?;
    Ok(defect.fail_points)
}

/// Plays the fault matrix and returns its exit status.
pub(crate) fn run(arguments: MatrixArguments) -> Result<ExitCode, CommandError> {
    let planted = defect_fail_points(arguments.plant.as_deref())?;
    let daemon = daemon_path(arguments.daemon);
    let cases = fault_matrix::cases(arguments.plays as usize, arguments.seed);
    let plays = run_in_parallel(&cases, arguments.jobs.into(), |case| match is_stopped() {
        true => Err(io::Error::other("not played: interrupted")),
        false => fault_matrix::play(&daemon, *case, planted),
    });
    let mut matrix = fault_matrix::Matrix::default();
    for (case, played) in cases.iter().zip(plays) {
        matrix.add(*case, played);
    }
    print(&matrix.to_string());
    for line in &matrix.notes {
        print(&format!("{line}\n"));
    }
    Ok(ExitCode::from(matrix.status()))
}

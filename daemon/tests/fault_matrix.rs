//! Faults at points of a commit, on processes: a slice of the matrix that `linnetknot-rehearse fault-matrix` plays at length,
//! and the faults that it must find where they are planted.

use linnetknot_rehearse::fault_matrix::{cases, play, Case, Matrix, DEFECTS, FAULT_POINTS};
use linnetknot_rehearse::series::run_in_parallel;
use std::path::Path;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");

fn played(cases: &[Case], planted: &str) -> Matrix {
    let plays = run_in_parallel(cases, 4, |case| play(Path::new(DAEMON), *case, planted));
    let mut matrix = Matrix::default();
    cases
        .iter()
        .zip(plays)
        .for_each(|(case, played)| matrix.add(*case, played));
    matrix
}

#[test]
fn at_every_fault_point_and_with_both_disks_no_commit_is_lost() {
    let matrix = played(&cases(2 * FAULT_POINTS.len(), 100), "");
    assert_eq!(matrix.status(), 0, "{matrix}\n{:#?}", matrix.notes);
}

/// Each planted fault is named by its rule at a point that shows it.
#[test]
fn planted_faults_are_found() {
    for ((defect, point), rule) in DEFECTS
        .into_iter()
        .zip(["writer-cut", "holder-cut", "successor"])
        .zip(["promises", "promises", "fence"])
    {
        let name = defect.name;
        let at = FAULT_POINTS
            .iter()
            .position(|entry| entry.name == point)
            .unwrap();
        // The second round of the points has the disk lost; by this seed the links are clear.
        let case = Case {
            seed: 300,
            ..cases(2 * FAULT_POINTS.len(), 0)[FAULT_POINTS.len() + at]
        };
        let matrix = played(&[case], defect.fail_points);
        assert_eq!(matrix.status(), 1, "{name}: {matrix}\n{:#?}", matrix.notes);
        assert!(
            matrix
                .notes
                .iter()
                .any(|said| said.contains(&format!("{rule} at"))),
            "{name}: {:#?}",
            matrix.notes
        );
    }
}

//! Runs a part of the matrix of `linnetknot-rehearse fault-matrix`, which injects faults at points of a commit, and checks
//! that deliberately injected violations are detected.

use linnetknot_rehearse::fault_matrix::{cases, play, Case, Matrix, DEFECTS, FAULT_POINTS};
use linnetknot_rehearse::series::run_in_parallel;
use std::path::Path;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");

fn play_cases(cases: &[Case], fault: &str) -> Matrix {
    let plays = run_in_parallel(cases, 4, |case| play(Path::new(DAEMON), *case, fault));
    let mut matrix = Matrix::default();
    cases
        .iter()
        .zip(plays)
        .for_each(|(case, result)| matrix.add(*case, result));
    matrix
}

#[test]
fn no_commit_is_lost_at_any_fault_point_with_kept_or_lost_disks() {
    let matrix = play_cases(&cases(2 * FAULT_POINTS.len(), 100), "");
    assert_eq!(matrix.status(), 0, "{matrix}\n{:#?}", matrix.notes);
}

/// Each deliberately injected violation must be reported by the check that forbids it.
#[test]
fn planted_faults_are_detected() {
    for ((defect, point), rule) in DEFECTS
        .into_iter()
        .zip(["writer-cut", "holder-cut", "successor"])
        .zip(["promises", "promises", "fence"])
    {
        let name = defect.name;
        let point_index = FAULT_POINTS
            .iter()
            .position(|entry| entry.name == point)
            .unwrap();
        // In the second round of the points the disk is lost. With this seed the links lose no datagrams.
        let case = Case {
            seed: 300,
            ..cases(2 * FAULT_POINTS.len(), 0)[FAULT_POINTS.len() + point_index]
        };
        let matrix = play_cases(&[case], defect.fail_points);
        assert_eq!(matrix.status(), 1, "{name}: {matrix}\n{:#?}", matrix.notes);
        assert!(
            matrix
                .notes
                .iter()
                .any(|note| note.contains(&format!("{rule} at"))),
            "{name}: {:#?}",
            matrix.notes
        );
    }
}

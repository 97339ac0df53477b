//! Faults by moments of a promise, on processes: a slice of the matrix that `linnetknot-rehearse moments` plays at length,
//! and the faults that it must find where they are planted.

use linnetknot_rehearse::moments::{cases, play, Case, Matrix, MOMENTS, PLANTS};
use linnetknot_rehearse::series::all_at_once;
use std::path::Path;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");

fn played(cases: &[Case], planted: &str) -> Matrix {
    let plays = all_at_once(cases, 4, |case| play(Path::new(DAEMON), *case, planted));
    let mut matrix = Matrix::default();
    cases
        .iter()
        .zip(plays)
        .for_each(|(case, played)| matrix.add(*case, played));
    matrix
}

#[test]
fn at_every_moment_and_with_both_disks_no_promise_is_lost() {
    let matrix = played(&cases(2 * MOMENTS.len(), 100), "");
    assert_eq!(matrix.status(), 0, "{matrix}\n{:#?}", matrix.said);
}

/// Each planted fault is named by its rule at a moment that shows it.
#[test]
fn planted_faults_are_found() {
    for ((name, points, _), moment, rule) in PLANTS
        .into_iter()
        .zip(["writer-cut", "holder-cut", "successor"])
        .zip(["promises", "promises", "fence"])
        .map(|((p, m), r)| (p, m, r))
    {
        let at = MOMENTS.iter().position(|(_, n, _)| *n == moment).unwrap();
        // The second round of the moments has the disk lost; by this seed the weather is calm.
        let case = Case {
            seed: 300,
            ..cases(2 * MOMENTS.len(), 0)[MOMENTS.len() + at]
        };
        let matrix = played(&[case], points);
        assert_eq!(matrix.status(), 1, "{name}: {matrix}\n{:#?}", matrix.said);
        assert!(
            matrix
                .said
                .iter()
                .any(|said| said.contains(&format!("{rule} at"))),
            "{name}: {:#?}",
            matrix.said
        );
    }
}

//! Decay of penalties, and validation of the damping parameters.

use linnetknot::Micros;
use linnetknot_discovery::{Damping, Penalty};

const S: Micros = 1_000_000;

#[test]
fn a_penalty_halves_and_its_end_is_foretold_and_bounded() {
    let d = Damping::default();
    let mut p = Penalty::default();
    p.add(&d, 0);
    assert!((p.value(&d, 15 * S) - 0.5).abs() < 1e-9);
    for n in 0..1000 {
        p.add(&d, n * S);
    }
    let end = p.decays_below_at(&d, d.reuse, 999 * S);
    assert!(
        end <= 999 * S + d.max_suppressed_us + 1,
        "however long it flapped"
    );
    assert!(p.value(&d, end) < d.reuse && p.value(&d, end - 2) >= d.reuse);
    assert!(!p.is_negligible(&d, end) && p.is_negligible(&d, end + 75 * S));
}

#[test]
fn figures_that_can_not_work_are_refused_by_name() {
    let good = Damping::default();
    assert_eq!(good.validate(), Ok(()));
    for (bad, name) in [
        (
            Damping {
                half_life_us: 0,
                ..good
            },
            "half_life",
        ),
        (
            Damping {
                reuse: f64::NAN,
                ..good
            },
            "reuse",
        ),
        (
            Damping {
                suppress: 1.0,
                ..good
            },
            "suppress",
        ),
        (
            Damping {
                max_suppressed_share: 1.5,
                ..good
            },
            "most_share",
        ),
        (
            Damping {
                max_suppressed_us: S,
                ..good
            },
            "most_suppressed",
        ),
    ] {
        assert_eq!(bad.validate().unwrap_err().key(), name);
    }
}

//! Tests of the decay of flap-damping penalties, and of the validation of the damping parameters.

use linnetknot::Micros;
use linnetknot_discovery::{Damping, Penalty};

const SECOND_US: Micros = 1_000_000;

#[test]
fn a_penalty_decays_by_its_half_life_and_is_bounded() {
    let damping = Damping::default();
    let mut penalty = Penalty::default();
    penalty.add(&damping, 0);
    assert!((penalty.value(&damping, 15 * SECOND_US) - 0.5).abs() < 1e-9);
    for n in 0..1000 {
        penalty.add(&damping, n * SECOND_US);
    }
    let end = penalty.decays_below_at(&damping, damping.reuse, 999 * SECOND_US);
    assert!(
        end <= 999 * SECOND_US + damping.max_suppressed_us + 1,
        "the penalty is bounded"
    );
    assert!(
        penalty.value(&damping, end) < damping.reuse
            && penalty.value(&damping, end - 2) >= damping.reuse
    );
    assert!(
        !penalty.is_negligible(&damping, end)
            && penalty.is_negligible(&damping, end + 75 * SECOND_US)
    );
}

#[test]
fn invalid_parameters_are_rejected_with_their_key() {
    let valid = Damping::default();
    assert_eq!(valid.validate(), Ok(()));
    for (invalid, key) in [
        (
            Damping {
                half_life_us: 0,
                ..valid
            },
            "half_life",
        ),
        (
            Damping {
                reuse: f64::NAN,
                ..valid
            },
            "reuse",
        ),
        (
            Damping {
                suppress: 1.0,
                ..valid
            },
            "suppress",
        ),
        (
            Damping {
                max_suppressed_share: 1.5,
                ..valid
            },
            "most_share",
        ),
        (
            Damping {
                max_suppressed_us: SECOND_US,
                ..valid
            },
            "most_suppressed",
        ),
    ] {
        assert_eq!(invalid.validate().unwrap_err().key(), key);
    }
}

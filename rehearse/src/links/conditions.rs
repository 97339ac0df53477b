//! What a link between two proxies does to what passes over it, decided without a socket: what is lost, what comes
//! twice, and what comes when.

use crate::record::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The state of one direction of a link. The default is a clear one: all passes at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    /// Nothing passes, and nobody is told.
    pub cut: bool,
    /// Everything comes later by this, in milliseconds.
    pub delay_ms: f64,
    /// And by up to so much more, in milliseconds: datagrams may overtake each other, a stream never does.
    pub jitter_ms: f64,
    /// Share of the datagrams that are lost.
    pub drop: f64,
    /// Share of the datagrams that come twice.
    pub duplicate: f64,
    /// Share of the datagrams that are held back until later ones have passed.
    pub reorder: f64,
    /// A stream passes so many bytes a second at most; 0: as many as come.
    pub trickle: u64,
    /// A stream is reset once so many bytes have passed, in the midst of whatever they are; 0: never.
    pub reset_after: u64,
    /// Connections are taken and never read.
    pub half_open: bool,
}

/// How long a datagram that is held back waits at the least, in microseconds.
const HELD_US: Micros = 20_000;

/// The longest delay and jitter, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;

/// A value of link conditions that can't be.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{key}: {value} is not from 0 to {max}")]
pub struct ConditionOutOfRange {
    /// Its key.
    pub key: &'static str,
    /// The value.
    pub value: f64,
    /// The largest that can be.
    pub max: f64,
}

impl ConditionOutOfRange {
    fn check(key: &'static str, value: f64, max: f64) -> Result<(), Self> {
        if (0.0..=max).contains(&value) {
            Ok(())
        } else {
            Err(ConditionOutOfRange { key, value, max })
        }
    }
}

impl LinkConditions {
    /// A link over which nothing passes.
    pub const CUT: LinkConditions = LinkConditions {
        cut: true,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        drop: 0.0,
        duplicate: 0.0,
        reorder: 0.0,
        trickle: 0,
        reset_after: 0,
        half_open: false,
    };

    /// What concerns streams alone, by its key.
    pub fn of_streams(&self) -> Option<&'static str> {
        let said = [
            ("trickle", self.trickle > 0),
            ("reset_after", self.reset_after > 0),
            ("half_open", self.half_open),
        ];
        said.into_iter().find(|(_, said)| *said).map(|(key, _)| key)
    }

    /// Checks that all values can be.
    ///
    /// # Errors
    /// Where one can't; it is named by its key.
    pub fn check(&self) -> Result<(), ConditionOutOfRange> {
        for (key, share) in [
            ("drop", self.drop),
            ("duplicate", self.duplicate),
            ("reorder", self.reorder),
        ] {
            ConditionOutOfRange::check(key, share, 1.0)?;
        }
        for (key, ms) in [("delay_ms", self.delay_ms), ("jitter_ms", self.jitter_ms)] {
            ConditionOutOfRange::check(key, ms, MAX_DELAY_MS)?;
        }
        Ok(())
    }
}

/// What becomes of the datagrams of one direction, drawn from a seed: the same datagrams meet the same fate in every
/// play.
#[derive(Clone, Debug)]
pub struct Fate {
    random: ChaCha8Rng,
}

impl Fate {
    /// Fates of the direction from one proxy to another.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        let direction = (from as u64) << 32 | to as u64;
        Fate {
            random: ChaCha8Rng::seed_from_u64(seed ^ direction.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        }
    }

    /// After how many microseconds the next datagram comes, for each time that it comes: none where it is lost. As
    /// many draws are made whatever the conditions are, so that a change of conditions shifts no later fate.
    pub fn of(&mut self, conditions: &LinkConditions) -> Vec<Micros> {
        let [lost, twice, held, late, later] = std::array::from_fn(|_| self.random.random::<f64>());
        if conditions.cut || lost < conditions.drop {
            return Vec::new();
        }
        let delay =
            |jitter: f64| ((conditions.delay_ms + jitter * conditions.jitter_ms) * 1e3) as Micros;
        let held_back = if held < conditions.reorder {
            HELD_US + delay(1.0)
        } else {
            0
        };
        let mut comes = vec![delay(late) + held_back];
        if twice < conditions.duplicate {
            comes.push(delay(later) + held_back);
        }
        comes
    }
}

/// How a stream passes in one direction: what may pass now, and whether it breaks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    passed: u64,
    /// Bytes that may still pass, and when that was reckoned.
    allowance: f64,
    reckoned: Option<Micros>,
}

/// What a stream may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// Up to so many bytes pass.
    Bytes(usize),
    /// Nothing passes before it is looked at again.
    Nothing,
    /// The connection is reset.
    Reset,
}

impl Flow {
    /// What may pass of so many bytes that wait.
    pub fn may(&mut self, now: Micros, conditions: &LinkConditions, waiting: usize) -> Pass {
        if conditions.cut || conditions.half_open {
            // Time under a cut earns nothing.
            self.reckoned = None;
            return Pass::Nothing;
        }
        let mut most = waiting as u64;
        if conditions.trickle > 0 {
            let since = now.saturating_sub(self.reckoned.replace(now).unwrap_or(now));
            // A tenth of a second's worth at most is saved up.
            let rate = conditions.trickle as f64;
            self.allowance =
                (self.allowance + since as f64 / 1e6 * rate).min((rate / 10.0).max(1.0));
            most = most.min(self.allowance as u64);
        }
        if conditions.reset_after > 0 {
            let left = conditions.reset_after.saturating_sub(self.passed);
            if left == 0 {
                return Pass::Reset;
            }
            most = most.min(left);
        }
        match most {
            0 => Pass::Nothing,
            n => Pass::Bytes(n as usize),
        }
    }

    /// So many bytes have passed.
    pub fn passed(&mut self, bytes: usize) {
        self.passed += bytes as u64;
        self.allowance = (self.allowance - bytes as f64).max(0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clear_link_passes_each_datagram_once_and_at_once_and_a_cut_one_none() {
        let mut fate = Fate::new(7, 0, 1);
        assert!((0..100).all(|_| fate.of(&LinkConditions::default()) == [0]));
        assert!((0..100).all(|_| fate.of(&LinkConditions::CUT).is_empty()));
    }

    #[test]
    fn losses_doubles_and_delays_come_in_their_shares_and_alike_for_one_seed() {
        let rough = LinkConditions {
            drop: 0.3,
            duplicate: 0.2,
            reorder: 0.1,
            delay_ms: 5.0,
            jitter_ms: 2.0,
            ..LinkConditions::default()
        };
        let all = |seed, to| {
            let mut fate = Fate::new(seed, 0, to);
            (0..10_000).map(|_| fate.of(&rough)).collect::<Vec<_>>()
        };
        let fates = all(7, 1);
        let lost = fates.iter().filter(|f| f.is_empty()).count();
        let twice = fates.iter().filter(|f| f.len() == 2).count();
        let held = fates
            .iter()
            .filter(|f| f.first().is_some_and(|us| *us >= HELD_US))
            .count();
        assert!((2_800..3_200).contains(&lost), "{lost}");
        assert!((1_250..1_550).contains(&twice), "{twice}");
        assert!((600..800).contains(&held), "{held}");
        let usual = |us: &u64| (5_000..=7_000).contains(us) || *us >= HELD_US + 12_000;
        assert!(fates.iter().flatten().all(usual));
        assert_eq!(fates, all(7, 1));
        assert!(
            fates != all(8, 1) && fates != all(7, 2),
            "each direction and seed has fates of its own"
        );
    }

    #[test]
    fn a_change_of_conditions_shifts_no_later_fate() {
        let (mut a, mut b) = (Fate::new(3, 1, 2), Fate::new(3, 1, 2));
        let rough = LinkConditions {
            drop: 0.5,
            duplicate: 0.5,
            jitter_ms: 9.0,
            ..LinkConditions::default()
        };
        for _ in 0..50 {
            a.of(&rough);
            b.of(&LinkConditions::CUT);
        }
        assert!((0..50).all(|_| a.of(&rough) == b.of(&rough)));
    }

    #[test]
    fn a_stream_trickles_breaks_in_the_midst_and_stands_still_while_cut() {
        let slow = LinkConditions {
            trickle: 1000,
            ..LinkConditions::default()
        };
        let mut flow = Flow::default();
        assert_eq!(
            flow.may(0, &slow, 500),
            Pass::Nothing,
            "nothing is earned yet"
        );
        assert_eq!(flow.may(50_000, &slow, 500), Pass::Bytes(50));
        flow.passed(50);
        assert_eq!(flow.may(50_000, &slow, 500), Pass::Nothing);
        assert_eq!(
            flow.may(5_000_000, &slow, 500),
            Pass::Bytes(100),
            "not all of an idle time at once"
        );
        assert_eq!(
            flow.may(5_000_000, &LinkConditions::CUT, 500),
            Pass::Nothing
        );
        assert_eq!(
            flow.may(9_000_000, &LinkConditions::default(), 500),
            Pass::Bytes(500)
        );
        let breaks = LinkConditions {
            reset_after: 70,
            ..LinkConditions::default()
        };
        assert_eq!(
            flow.may(9_000_000, &breaks, 500),
            Pass::Bytes(20),
            "50 have passed"
        );
        flow.passed(20);
        assert_eq!(flow.may(9_000_000, &breaks, 1), Pass::Reset);
        let deaf = LinkConditions {
            half_open: true,
            ..LinkConditions::default()
        };
        assert_eq!(Flow::default().may(0, &deaf, 9), Pass::Nothing);
    }

    #[test]
    fn what_can_not_be_is_told_by_its_key() {
        let bad = LinkConditions {
            drop: 1.5,
            ..LinkConditions::default()
        };
        assert_eq!(
            bad.check().map_err(|error| error.to_string()),
            Err("drop: 1.5 is not from 0 to 1".into())
        );
        let bad = LinkConditions {
            delay_ms: f64::NAN,
            ..LinkConditions::default()
        };
        assert!(bad.check().unwrap_err().to_string().starts_with("delay_ms"));
        assert_eq!(LinkConditions::CUT.check(), Ok(()));
    }
}

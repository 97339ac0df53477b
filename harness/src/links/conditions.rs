//! What a link between two proxies does to what passes over it, decided without a socket: what is lost, what comes
//! twice, and what comes when.

use crate::time::Micros;
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

/// How long a datagram that is reordered is delayed at the least, in microseconds.
pub const REORDER_DELAY_US: Micros = 20_000;

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
    pub fn stream_only_key(&self) -> Option<&'static str> {
        let flags = [
            ("trickle", self.trickle > 0),
            ("reset_after", self.reset_after > 0),
            ("half_open", self.half_open),
        ];
        flags
            .into_iter()
            .find(|(_, flags)| *flags)
            .map(|(key, _)| key)
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
pub struct DatagramFaults {
    random: ChaCha8Rng,
}

impl DatagramFaults {
    /// Fates of the direction from one proxy to another.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        let direction = (from as u64) << 32 | to as u64;
        DatagramFaults {
            random: ChaCha8Rng::seed_from_u64(seed ^ direction.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        }
    }

    /// After how many microseconds the next datagram comes, for each time that it comes: none where it is lost. As
    /// many draws are made whatever the conditions are, so that a change of conditions shifts no later fate.
    pub fn next_delays(&mut self, conditions: &LinkConditions) -> Vec<Micros> {
        let [lost, twice, reordered, late, later] =
            std::array::from_fn(|_| self.random.random::<f64>());
        if conditions.cut || lost < conditions.drop {
            return Vec::new();
        }
        let delay =
            |jitter: f64| ((conditions.delay_ms + jitter * conditions.jitter_ms) * 1e3) as Micros;
        let reorder_delay = if reordered < conditions.reorder {
            REORDER_DELAY_US + delay(1.0)
        } else {
            0
        };
        let mut comes = vec![delay(late) + reorder_delay];
        if twice < conditions.duplicate {
            comes.push(delay(later) + reorder_delay);
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
    pub fn allowed(&mut self, now: Micros, conditions: &LinkConditions, waiting: usize) -> Pass {
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

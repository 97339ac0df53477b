//! Conditions of fault-injecting links, and the decisions made from them without sockets: which datagrams are lost,
//! duplicated or delayed, and how many bytes of a stream pass.

use crate::time::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Conditions of one direction of a link. By default everything passes without delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    /// Whether the link is cut: nothing passes, and the sender gets no error.
    pub cut: bool,
    /// Fixed delay, in milliseconds.
    pub delay_ms: f64,
    /// Maximum additional delay, in milliseconds. It may reorder datagrams, but never the bytes of a stream.
    pub jitter_ms: f64,
    /// Fraction of the datagrams that are lost.
    pub drop: f64,
    /// Fraction of the datagrams that are delivered twice.
    pub duplicate: f64,
    /// Fraction of the datagrams that are delayed so that later datagrams may overtake them.
    pub reorder: f64,
    /// Maximum rate of a stream, in bytes per second; 0 means no limit.
    pub trickle: u64,
    /// Number of bytes after which a stream is reset, also in the middle of a message; 0 means never.
    pub reset_after: u64,
    /// Whether connections are accepted but never read.
    pub half_open: bool,
}

/// Minimum delay of a reordered datagram, in microseconds.
pub const REORDER_DELAY_US: Micros = 20_000;

/// Maximum of the delay and of the jitter, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;

/// A value of link conditions is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{key}: {value} is not from 0 to {max}")]
pub struct ConditionOutOfRange {
    /// Name of the condition whose value was rejected.
    pub key: &'static str,
    /// The rejected value.
    pub value: f64,
    /// Largest valid value of the condition; the smallest is 0.
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
    /// Conditions of a link over which nothing passes.
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

    /// Returns the key of the first condition in use that applies to streams only.
    pub fn stream_only_key(&self) -> Option<&'static str> {
        let flags = [
            ("trickle", self.trickle > 0),
            ("reset_after", self.reset_after > 0),
            ("half_open", self.half_open),
        ];
        flags
            .into_iter()
            .find(|(_, is_set)| *is_set)
            .map(|(key, _)| key)
    }

    /// Checks that all values are in their ranges.
    ///
    /// # Errors
    /// Returns the first value that is out of range.
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

/// Random losses, duplicates and delays of the datagrams of one direction. The same seed gives the same sequence.
#[derive(Clone, Debug)]
pub struct DatagramFaults {
    random: ChaCha8Rng,
}

impl DatagramFaults {
    /// Creates the sequence for the direction from one proxy to another.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        let direction = (from as u64) << 32 | to as u64;
        DatagramFaults {
            random: ChaCha8Rng::seed_from_u64(seed ^ direction.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        }
    }

    /// Returns the delay of each delivery of the next datagram, in microseconds: none if it is lost, two if it is
    /// duplicated. The number of random draws does not depend on the conditions, so that a change of conditions does
    /// not affect the draws for later datagrams.
    pub fn next_delays(&mut self, conditions: &LinkConditions) -> Vec<Micros> {
        let [loss, duplicate, reorder, jitter, duplicate_jitter] =
            std::array::from_fn(|_| self.random.random::<f64>());
        if conditions.cut || loss < conditions.drop {
            return Vec::new();
        }
        let delay =
            |jitter: f64| ((conditions.delay_ms + jitter * conditions.jitter_ms) * 1e3) as Micros;
        let reorder_delay = if reorder < conditions.reorder {
            REORDER_DELAY_US + delay(1.0)
        } else {
            0
        };
        let mut delays = vec![delay(jitter) + reorder_delay];
        if duplicate < conditions.duplicate {
            delays.push(delay(duplicate_jitter) + reorder_delay);
        }
        delays
    }
}

/// Rate limit and reset of one direction of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    passed: u64,
    /// Bytes that may still pass under the rate limit, as of `updated_at`.
    allowance: f64,
    updated_at: Option<Micros>,
}

/// Decision on the bytes that wait in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// At most this many bytes pass.
    Bytes(usize),
    /// No bytes pass yet; they are kept and decided on again later.
    Nothing,
    /// The connection is reset.
    Reset,
}

impl Flow {
    /// Decides how many of the waiting bytes may pass.
    pub fn allowed(&mut self, now: Micros, conditions: &LinkConditions, waiting: usize) -> Pass {
        if conditions.cut || conditions.half_open {
            // Time during a cut does not add to the allowance.
            self.updated_at = None;
            return Pass::Nothing;
        }
        let mut most = waiting as u64;
        if conditions.trickle > 0 {
            let elapsed_us = now.saturating_sub(self.updated_at.replace(now).unwrap_or(now));
            // The allowance is limited to the bytes of 0.1 s.
            let rate = conditions.trickle as f64;
            self.allowance =
                (self.allowance + elapsed_us as f64 / 1e6 * rate).min((rate / 10.0).max(1.0));
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

    /// Records that bytes have passed.
    pub fn passed(&mut self, bytes: usize) {
        self.passed += bytes as u64;
        self.allowance = (self.allowance - bytes as f64).max(0.0);
    }
}

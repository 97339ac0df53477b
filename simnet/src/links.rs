//! The conditions of one direction of a link: how long datagrams take, and how many are lost, duplicated or overtaken.

use crate::Micros;
use linnetknot_datagram::Random;

/// Shares are drawn out of so many.
const MILLION: u64 = 1_000_000;

/// Datagrams that are sent within one such interval meet the same queues, so that they take equally long and stay in
/// order.
const QUEUE_INTERVAL_US: Micros = 5_000;

/// How long datagrams take, and how many of a million are lost, duplicated or overtaken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkConditions {
    /// The shortest delay of any link of this kind.
    pub delay_us: Micros,
    /// By how much links of this kind differ: each adds a share of this that never changes.
    pub spread_us: Micros,
    /// By how much queues vary: every few milliseconds another share of this is added.
    pub jitter_us: Micros,
    /// How many datagrams in a million are lost.
    pub loss_ppm: u64,
    /// How many datagrams in a million are duplicated.
    pub duplication_ppm: u64,
    /// How many datagrams in a million take the delay twice, so that later ones overtake them.
    pub reordering_ppm: u64,
}

/// When one datagram arrives: not at all if it is lost, twice if it is duplicated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// When it arrives first.
    pub first: Option<Micros>,
    /// When its duplicate arrives.
    pub second: Option<Micros>,
}

/// Hashes three numbers evenly.
fn hash(link: u64, interval: u64, salt: u64) -> u64 {
    let mut x = link.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ interval.rotate_left(32) ^ salt;
    for multiplier in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(multiplier);
    }
    x ^ (x >> 31)
}

impl LinkConditions {
    /// Returns when a datagram arrives that is sent now on the link of this number.
    pub fn arrivals(&self, link: u64, now: Micros, random: &mut Random) -> Arrivals {
        if random.below(MILLION) < self.loss_ppm {
            return Arrivals::default();
        }
        let first = now + self.delay(link, now, random);
        let is_duplicated =
            self.duplication_ppm > 0 && random.below(MILLION) < self.duplication_ppm;
        let second = is_duplicated.then(|| first + 1 + random.below(self.delay_us.max(1)));
        Arrivals {
            first: Some(first),
            second,
        }
    }

    fn delay(&self, link: u64, now: Micros, random: &mut Random) -> Micros {
        let spread = hash(link, 0, 1) % (self.spread_us + 1);
        let jitter = hash(link, now / QUEUE_INTERVAL_US, 2) % (self.jitter_us + 1);
        let is_reordered = self.reordering_ppm > 0 && random.below(MILLION) < self.reordering_ppm;
        let reordering = if is_reordered { self.delay_us } else { 0 };
        self.delay_us + spread + jitter + reordering
    }
}

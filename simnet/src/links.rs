//! The conditions of one direction of a link: the delay, and the shares of datagrams that are lost, duplicated or
//! reordered.

use crate::Micros;
use linnetknot_datagram::Random;

const MILLION: u64 = 1_000_000;

/// Datagrams that are sent within one such interval get the same jitter, so that they stay in order.
const QUEUE_INTERVAL_US: Micros = 5_000;

/// The delay of datagrams, and the shares of them that are lost, duplicated or reordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkConditions {
    /// The fixed part of the delay in microseconds, to which the spread and the jitter are added.
    pub delay_us: Micros,
    /// The maximum additional delay that is constant for each link and differs between links.
    pub spread_us: Micros,
    /// The maximum additional delay that changes every few milliseconds, as from queues.
    pub jitter_us: Micros,
    /// The share of lost datagrams, in parts per million.
    pub loss_ppm: u64,
    /// The share of duplicated datagrams, in parts per million.
    pub duplication_ppm: u64,
    /// The share of datagrams whose fixed delay is doubled, so that later datagrams overtake them, in parts per
    /// million.
    pub reordering_ppm: u64,
}

/// The times at which a datagram arrives. A lost datagram has none, a duplicated one has two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// The time of the first arrival.
    pub first: Option<Micros>,
    /// The time at which the duplicate arrives.
    pub second: Option<Micros>,
}

/// Returns a uniformly distributed hash of three numbers.
fn hash(link: u64, interval: u64, salt: u64) -> u64 {
    let mut x = link.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ interval.rotate_left(32) ^ salt;
    for multiplier in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(multiplier);
    }
    x ^ (x >> 31)
}

impl LinkConditions {
    /// Returns the arrivals of a datagram that is sent now. `link` is the number of the link.
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

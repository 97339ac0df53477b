//! What a server can do while it warms up, and whose turn it is to spend of that: the arithmetic. What follows from it
//! is decided elsewhere.
//!
//! Where many routers share a budget that allows each of them less than one request in a window, each may send one when
//! its part has added up to one. These moments, its turns, are laid apart from the others' by a number between 0 and 1:
//! routers with numbers that lie evenly take turns evenly. As a turn lasts for a quarter of a window only, those of n
//! routers in a window are n times the part of each times 1.25 at the most, and the few by which their numbers lie
//! less than evenly: nothing adds up while there is nothing to send.

use crate::interface::Micros;

/// A turn lasts for one in so many parts of a window.
const PARTS: Micros = 4;
/// Its multiples, less their whole parts, lie evenly between 0 and 1, however many of them there are.
pub(crate) const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// A server's capacity from its start on, as a share of all of it: a straight line.
#[derive(Clone, Copy)]
pub(crate) struct Ramp {
    /// At its start.
    pub(crate) share: f64,
    /// When it is warm.
    pub(crate) cold_us: Micros,
}

impl Ramp {
    /// The share at an age.
    pub(crate) fn at(&self, age: Micros) -> f64 {
        (self.share + (1.0 - self.share) * age as f64 / self.cold_us.max(1) as f64).min(1.0)
    }

    /// Whether it is the turn of a router, at an age at which it has so many `turns` in a window of that length: less
    /// than one. `own`: the number that lays its turns apart.
    pub(crate) fn is_turn(&self, age: Micros, turns: f64, window: Micros, own: f64) -> bool {
        let window = window.max(1);
        // In a line too: what has added up since the start is the mean share of that time.
        let rate = turns / self.at(age.saturating_sub(window / 2)).max(1e-9);
        let added = |age: Micros| {
            let mean = (self.at(0) + self.at(age)) / 2.0;
            (own + rate * mean * age as f64 / window as f64).floor()
        };
        added(age) > added(age.saturating_sub(window / PARTS))
    }
}

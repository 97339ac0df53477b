//! The arithmetic of slow start: what a server can do while it warms up, and whose turn it is to spend of that. What
//! follows from it is decided in `crate::router`.
//!
//! Where many routers share a budget that allows each of them less than one request in a window, each may send one when
//! its share has added up to one. These moments, its turns, are spread by a phase between 0 and 1 for each router:
//! routers whose phases lie evenly take turns evenly. As a turn lasts for a quarter of a window only, those of n routers
//! in a window are at most n times the share of each times 1.25, and the few by which their phases lie less than evenly:
//! nothing adds up while there is nothing to send.

use crate::interface::Micros;

/// A turn lasts for one in so many parts of a window.
const SLOTS_PER_WINDOW: Micros = 4;
/// The golden ratio less 1. Its multiples, less their whole parts, lie evenly between 0 and 1, however many there are.
pub(crate) const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// A server's capacity from its start on, as a share of its whole capacity: a straight line.
#[derive(Clone, Copy)]
pub(crate) struct Ramp {
    /// At its start.
    pub(crate) initial_share: f64,
    /// Time from its start until it is warm.
    pub(crate) duration_us: Micros,
}

impl Ramp {
    /// The share at an age.
    pub(crate) fn share_at(&self, age: Micros) -> f64 {
        (self.initial_share
            + (1.0 - self.initial_share) * age as f64 / self.duration_us.max(1) as f64)
            .min(1.0)
    }

    /// Whether it is the turn of a router, at an age at which it has so many turns in a window: less than one.
    pub(crate) fn in_send_slot(
        &self,
        age: Micros,
        slots_per_window: f64,
        window_us: Micros,
        phase: f64,
    ) -> bool {
        let window_us = window_us.max(1);
        // In a line too: what has added up since the start is the mean share of that time.
        let rate = slots_per_window / self.share_at(age.saturating_sub(window_us / 2)).max(1e-9);
        let slots_until = |age: Micros| {
            let mean = (self.share_at(0) + self.share_at(age)) / 2.0;
            (phase + rate * mean * age as f64 / window_us as f64).floor()
        };
        slots_until(age) > slots_until(age.saturating_sub(window_us / SLOTS_PER_WINDOW))
    }
}

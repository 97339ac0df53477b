//! The arithmetic of slow start: the capacity of a server while it warms up, and the send slots of routers that share
//! it. The decisions based on it are in `crate::router`.
//!
//! If many routers share a budget that allows each of them less than one request per window, each router sends one
//! request whenever its accumulated share reaches one request. The time at which it may do so is its send slot. The
//! slots are offset by a phase between 0 and 1 per router, so routers with evenly distributed phases use their slots at
//! evenly distributed times. A slot stays open for a quarter of a window, so n routers together send at most 1.25 times
//! n times their share in one window, plus a few requests if their phases are uneven. An unused slot does not
//! accumulate.

use crate::interface::Micros;

/// Length of a window divided by the length of a send slot.
const SLOT_DURATIONS_PER_WINDOW: Micros = 4;
/// Conjugate of the golden ratio. The fractional parts of its multiples are evenly distributed between 0 and 1 for any
/// number of multiples.
pub(crate) const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// Capacity of a server after its start, as a share of its full capacity that grows linearly.
#[derive(Clone, Copy)]
pub(crate) struct Ramp {
    pub(crate) initial_share: f64,
    /// Time from the server's start until it reaches its full capacity.
    pub(crate) duration_us: Micros,
}

impl Ramp {
    /// Returns the share of its capacity that a server has at the given age.
    pub(crate) fn share_at(&self, age: Micros) -> f64 {
        (self.initial_share
            + (1.0 - self.initial_share) * age as f64 / self.duration_us.max(1) as f64)
            .min(1.0)
    }

    /// Returns whether a send slot of a router is open at the given age. `slots_per_window` is below 1.
    pub(crate) fn in_send_slot(
        &self,
        age: Micros,
        slots_per_window: f64,
        window_us: Micros,
        phase: f64,
    ) -> bool {
        let window_us = window_us.max(1);
        // The share in the middle of the window converts the rate to that at full capacity. The share grows linearly,
        // so its mean from the start to an age is half the sum of its values at both times.
        let rate = slots_per_window / self.share_at(age.saturating_sub(window_us / 2)).max(1e-9);
        let slots_until = |age: Micros| {
            let mean = (self.share_at(0) + self.share_at(age)) / 2.0;
            (phase + rate * mean * age as f64 / window_us as f64).floor()
        };
        slots_until(age) > slots_until(age.saturating_sub(window_us / SLOT_DURATIONS_PER_WINDOW))
    }
}

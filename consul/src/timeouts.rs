//! The time that an agent may take for a response.
//!
//! A long list may take long to arrive, on a busy machine for many seconds, and a response that is cut off is of no use:
//! it is asked for again from its start. The main bound is therefore one for silence, which a long list meets as long
//! as it makes progress. The bound for the whole response only ends responses that never would. If responses are cut
//! off nevertheless, [`CutOffs`] lengthens the bounds, so that a list that can be read at all is read in the end.

use linnetknot::Micros;

/// The bound for a whole response, as a multiple of the bound for silence. With the default of 2 s for silence, the
/// longest response that is read by default, of 16 MB, has 40 s to arrive.
const TOTAL_PER_SILENCE: Micros = 20;
/// Number of consecutive cut-offs from which on the bounds are lengthened.
const CUT_OFFS_BEFORE_LENGTHENING: u32 = 2;
/// Maximum number of doublings of the bounds.
const MAX_DOUBLINGS: u32 = 2;

/// The bounds of the time that an agent may take for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Maximum time from the call to the first byte of the response, in microseconds.
    pub first_byte_us: Micros,
    /// Maximum time without a byte once the response has begun, in microseconds.
    pub silence_us: Micros,
    /// Maximum time from the call to the end of the response, in microseconds.
    pub total_us: Micros,
}

impl ResponseTimeouts {
    /// Returns the bounds of a short response, which must be complete within a time.
    pub fn of_short_response(timeout_us: Micros) -> Self {
        ResponseTimeouts {
            first_byte_us: timeout_us,
            silence_us: timeout_us,
            total_us: timeout_us,
        }
    }

    /// Returns the bounds of a list whose agent waits for up to `blocking_us` before it responds. After that,
    /// `silence_us` is the maximum time without a byte.
    pub(crate) fn of_list(blocking_us: Micros, silence_us: Micros) -> Self {
        ResponseTimeouts {
            first_byte_us: blocking_us.saturating_add(silence_us),
            silence_us,
            total_us: blocking_us.saturating_add(silence_us.saturating_mul(TOTAL_PER_SILENCE)),
        }
    }

    /// Returns the time at which a call is to be ended as timed out, if no further byte is received until then.
    pub fn deadline(&self, sent_at: Micros, last_byte_at: Option<Micros>) -> Micros {
        let silent_until = match last_byte_at {
            None => sent_at.saturating_add(self.first_byte_us),
            Some(last_byte_at) => last_byte_at.saturating_add(self.silence_us),
        };
        silent_until.min(sent_at.saturating_add(self.total_us))
    }
}

/// Counts the consecutive responses of one API that were cut off by a timeout, and lengthens the next bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CutOffs(u32);

impl CutOffs {
    /// Records a response that was cut off.
    pub(crate) fn record(&mut self) {
        self.0 = self.0.saturating_add(1);
    }

    /// Records a complete list, after which the bounds are the usual ones again.
    pub(crate) fn reset(&mut self) {
        self.0 = 0;
    }

    /// Returns the bound for silence of the next call: doubled with each cut-off from the second on, up to a limit.
    pub(crate) fn lengthen(self, silence_us: Micros) -> Micros {
        let doublings = self
            .0
            .saturating_add(1)
            .saturating_sub(CUT_OFFS_BEFORE_LENGTHENING);
        silence_us.saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
    }
}

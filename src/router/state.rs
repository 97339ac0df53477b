//! The router's state for each server and each open request.

use super::statistics::SLOWDOWN_HALF_LIFE_MS;
use crate::interface::{Micros, RequestId, ServerId, State};
use crate::statistics::SlowdownAverage;
use std::collections::VecDeque;

/// Role of a server for this router.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// A cache in the router's own zone.
    #[default]
    Cache,
    /// A parent cache from which caches are filled.
    Parent,
    Origin,
}

/// The server that receives an attempt, and the source of its fill.
#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
}

/// What decides which servers recognise the repeat of a request that ran at a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Location {
    pub(super) role: Role,
    /// Index of the zone in the settings.
    pub(super) zone: usize,
    pub(super) cell: u64,
}

/// A request charged to the slow-start budget of a server.
pub(super) struct Charge {
    pub(super) at: Micros,
    /// Typical transfer time of the request's class, in seconds.
    pub(super) transfer_s: f64,
    pub(super) request: RequestId,
}

/// A server of the list with the state that this router keeps for it.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) role: Role,
    /// Index of its zone in the settings.
    pub(super) zone: usize,
    pub(super) cell: u64,
    pub(super) weight: f64,
    pub(super) state: State,
    pub(super) started: Option<Micros>,
    /// The server refused a connection; its next answer is treated as a restart of its process.
    pub(super) connect_failed: bool,
    /// Time of the first answer after a refused connection, which is treated as the start of the process.
    pub(super) recovered_at: Option<Micros>,
    /// Rate of recent failures attributed to this server.
    pub(super) failure_rate: f64,
    pub(super) ejected_until: Micros,
    /// Number of consecutive ejections; if it is not 0 after the last ejection expires, the server is on trial.
    pub(super) ejections: u32,
    /// The server is on trial after an ejection, and its single trial attempt is in flight.
    pub(super) trial_in_flight: bool,
    pub(super) last_success: Micros,
    /// Time of the last connection reset.
    pub(super) last_reset: Micros,
    /// Attempts of this router in flight at the server, currently and on average.
    pub(super) in_flight: usize,
    pub(super) mean_in_flight: f64,
    /// Average slowdown of recent cache hits compared to a transfer at full rate.
    pub(super) hit_slowdown: SlowdownAverage<SLOWDOWN_HALF_LIFE_MS>,
    /// Number of consecutive hits at full rate.
    pub(super) fast_hits: u32,
    /// Average slowdown of recent fills of known size compared to a transfer at full rate.
    pub(super) fill_slowdown: SlowdownAverage<SLOWDOWN_HALF_LIFE_MS>,
    /// Requests sent to the server within the window of the slow-start rule.
    pub(super) slow_start_charges: VecDeque<Charge>,
}

impl Endpoint {
    /// Returns the server's location.
    pub(super) fn location(&self) -> Location {
        Location {
            role: self.role,
            zone: self.zone,
            cell: self.cell,
        }
    }

    /// Returns when the server's process started or is assumed to have started; `None` if it started so long ago that
    /// it has its full capacity.
    pub(super) fn warming_since(&self) -> Option<Micros> {
        self.started.max(self.recovered_at)
    }
}

/// An attempt that has been sent and has not ended yet.
pub(super) struct Attempt {
    /// Number within its request, starting at 0.
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
    /// Location of the server when the attempt was sent.
    pub(super) location: Option<Location>,
    pub(super) sent_at: Micros,
    /// Time from which the missing answer counts as a sign that the server has stopped answering.
    pub(super) overdue_at: Micros,
    /// Estimated transfers at the server at the time of sending, including this one.
    pub(super) server_load: f64,
    /// Estimated fills on the location's link at the time of sending, including this one.
    pub(super) link_fills: f64,
    pub(super) cancelled: bool,
    /// Time after which even a shared link does not explain the missing answer.
    pub(super) stuck_after: Micros,
    /// The attempt was cancelled because `stuck_after` had passed.
    pub(super) stuck: bool,
    /// The source of its fill is a parent or the origin.
    pub(super) fills_from_upstream: bool,
    /// The attempt may reach the origin.
    pub(super) may_reach_origin: bool,
}

/// First attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub(super) sent_at: Micros,
    /// Location of the server to which the attempt was sent.
    pub(super) location: Option<Location>,
}

/// A request without a final answer, or with an attempt still in flight after the client left.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// Index of its class in the settings.
    pub(super) class: usize,
    /// Hash of the object and its part, by which caches are ranked.
    pub(super) part_key: u64,
    pub(super) object: u64,
    pub(super) group: u64,
    /// Transfer time at full rate in seconds; the typical one of its class if the size is unknown.
    pub(super) transfer_s: f64,
    pub(super) size_known: bool,
    /// Recent requests for the object and for this part.
    pub(super) object_count: f64,
    pub(super) part_count: f64,
    /// Time at which its latency objective ends.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    /// Random number from 0 to 1. The request may reach the origin if it is below the admitted share.
    pub(super) admission_draw: f64,
    /// Number of attempts sent for the request so far.
    pub(super) attempts: u32,
    pub(super) in_flight: Option<Attempt>,
    /// A streamed answer has started.
    pub(super) streaming: bool,
    pub(super) client_left: bool,
    /// Attempts that failed, or may have failed, because of their source, and attempts that missed in a parent.
    pub(super) failed_fills: u32,
    /// Number of attempts of the request that were cancelled as stuck.
    pub(super) stuck: u32,
    /// Attempts that servers answered with an error without a reason.
    pub(super) unexplained_errors: u32,
    /// Server of the first such error; the error is attributed to this server if another server serves the request.
    pub(super) first_failed_server: Option<ServerId>,
    /// A lookup without a fill missed in the cache, so the object must be filled.
    pub(super) known_miss: bool,
    pub(super) tried_servers: Vec<ServerId>,
    pub(super) excluded_sources: Vec<ServerId>,
    pub(super) may_have_run: Option<FirstRun>,
}

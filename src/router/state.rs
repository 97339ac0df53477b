//! What the router remembers of each server and of each request that it has not finished with.

use super::statistics::SLOWDOWN_HALF_LIFE_MS;
use crate::interface::{Micros, RequestId, ServerId, State};
use crate::statistics::SlowdownAverage;
use std::collections::VecDeque;

/// What a server is to this router.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// A cache of the router's own zone.
    #[default]
    Cache,
    /// A parent cache, from which the caches fill.
    Parent,
    /// The origin.
    Origin,
}

/// A server to try, and the source of its fill.
#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
}

/// Work sent to a server while it warms up.
pub(super) struct Charge {
    pub(super) at: Micros,
    /// Usual transfer time of the request's class, in seconds.
    pub(super) transfer_s: f64,
    pub(super) request: RequestId,
}

/// A server of the list, and what this router has learned of it.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) role: Role,
    /// Place of its zone in the settings.
    pub(super) zone: usize,
    pub(super) cell: u64,
    pub(super) weight: f64,
    pub(super) state: State,
    pub(super) started: Option<Micros>,
    /// It refused a connection; when it answers again, its process is taken to have just started.
    pub(super) connect_failed: bool,
    /// When it answered again after that.
    pub(super) recovered_at: Option<Micros>,
    /// Share of recent attempts that failed by this server's fault.
    pub(super) failure_rate: f64,
    pub(super) ejected_until: Micros,
    /// Ejections in a row; above 0, the server is on trial once the latest has run out.
    pub(super) ejections: u32,
    /// The single attempt of its trial is out.
    pub(super) trial_in_flight: bool,
    pub(super) last_success: Micros,
    /// When a connection to it last broke.
    pub(super) last_reset: Micros,
    /// Attempts from this router that it holds, and their average over time.
    pub(super) in_flight: usize,
    pub(super) mean_in_flight: f64,
    /// Recent hits from it.
    pub(super) hit_slowdown: SlowdownAverage<SLOWDOWN_HALF_LIFE_MS>,
    /// Recent fills from it whose size was known.
    pub(super) fill_slowdown: SlowdownAverage<SLOWDOWN_HALF_LIFE_MS>,
    /// What was sent to it within the slow-start rule's window.
    pub(super) slow_start_charges: VecDeque<Charge>,
}

impl Endpoint {
    /// When its process started, or is taken to have started; none: long ago.
    pub(super) fn warming_since(&self) -> Option<Micros> {
        self.started.max(self.recovered_at)
    }
}

/// An attempt that is out.
pub(super) struct Attempt {
    /// Counted from 0 for each request.
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
    pub(super) sent_at: Micros,
    /// Its server may be silent if there is no answer by then.
    pub(super) overdue_at: Micros,
    /// Estimated transfers of the server when it was sent, this one with them.
    pub(super) server_load: f64,
    /// Estimated fills by the location's link when it was sent, this one with them.
    pub(super) link_fills: f64,
    pub(super) cancelled: bool,
    /// From then on, sharing no longer explains that it is still out.
    pub(super) stuck_after: Micros,
    /// It was cancelled for that.
    pub(super) stuck: bool,
    /// Its source is a parent or the origin.
    pub(super) fills_from_upstream: bool,
    /// The origin may be asked for it.
    pub(super) may_reach_origin: bool,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub(super) sent_at: Micros,
    /// Its server's zone and cell.
    pub(super) zone: usize,
    pub(super) cell: u64,
}

/// A request whose final answer is owed, or whose attempt is still out after the client left.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// Place of its class in the settings.
    pub(super) class: usize,
    /// Hash of the object and its part: what the caches are ranked by.
    pub(super) part_key: u64,
    pub(super) object: u64,
    pub(super) group: u64,
    /// Transfer time at full pace, in seconds; its class's usual one if the size is not known.
    pub(super) transfer_s: f64,
    pub(super) size_known: bool,
    /// Recent requests for the object, and for this part of it.
    pub(super) object_count: f64,
    pub(super) part_count: f64,
    /// End of its latency objective.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    /// Drawn from 0 to 1: below the origin's admitted share, the origin may be asked.
    pub(super) admission_draw: f64,
    /// Attempts sent so far.
    pub(super) attempts: u32,
    pub(super) in_flight: Option<Attempt>,
    /// A streamed answer has begun.
    pub(super) streaming: bool,
    pub(super) client_left: bool,
    /// Attempts that failed by their source, or may have, or that a parent lacked.
    pub(super) failed_fills: u32,
    /// Attempts cancelled as stuck.
    pub(super) stuck: u32,
    /// Attempts that servers failed without a reason.
    pub(super) unexplained_errors: u32,
    /// The server of the first of these: it is at fault once another one serves the request.
    pub(super) first_failed_server: Option<ServerId>,
    /// Its cache was only looked into and holds no copy: it must be filled.
    pub(super) known_miss: bool,
    pub(super) tried_servers: Vec<ServerId>,
    pub(super) excluded_sources: Vec<ServerId>,
    pub(super) may_have_run: Option<FirstRun>,
}

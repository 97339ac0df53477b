//! What is remembered of each server and of each open request.

use super::statistics::PACE_HALF_MS;
use crate::aging::Pace;
use crate::interface::{Micros, RequestId, ServerId, State};
use std::collections::VecDeque;

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

/// A server to try, and the source of its fill.
pub(super) type Target = (ServerId, Option<ServerId>);

#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) role: Role,
    pub(super) zone: usize,
    pub(super) cell: u64,
    pub(super) weight: f64,
    pub(super) state: State,
    pub(super) started: Option<Micros>,
    pub(super) connect_failed: bool, // It could not be reached; when it answers again, its process is taken to have just started.
    pub(super) recovered_at: Option<Micros>,
    pub(super) failure_rate: f64, // Share of recent attempts that failed by this server's fault.
    pub(super) ejected_until: Micros,
    pub(super) ejections: u32, // Marks in a row; above 0 the server is on trial once its mark has run out.
    pub(super) trial_in_flight: bool,
    pub(super) last_success: Micros,
    pub(super) last_reset: Micros, // When a connection to it last broke.
    pub(super) in_flight: usize,
    pub(super) mean_in_flight: f64, // Transfers to it from here, averaged over `AVERAGING_S`.
    pub(super) hit_pace: Pace<PACE_HALF_MS>, // Its recent hits from here.
    pub(super) fill_pace: Pace<PACE_HALF_MS>, // Recent fills from it whose size was told.
    /// What was sent to it while cold: when, and its work in seconds.
    pub(super) slow_start_charges: VecDeque<(Micros, f64, RequestId)>,
}

pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
    pub(super) sent_at: Micros,
    pub(super) overdue_at: Micros,
    pub(super) server_load: f64, // Transfers that the server held, this one with them, as far as could be judged.
    pub(super) link_fills: f64, // Fills by the location's link when it was sent, this one with them.
    pub(super) cancelled: bool,
    pub(super) stuck_after: Micros, // When sharing no longer explains that it is still out; called off for that.
    pub(super) stuck: bool,
    pub(super) fills_from_upstream: bool, // Its source is a parent or the origin.
    pub(super) may_reach_origin: bool,    // It may have the origin asked.
}

#[derive(Default)]
pub(super) struct OpenRequest {
    pub(super) class: usize,
    pub(super) part_key: u64,
    pub(super) object: u64,
    pub(super) group: u64,
    pub(super) transfer_s: f64,
    pub(super) size_known: bool,
    pub(super) object_count: f64,
    pub(super) part_count: f64,
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    pub(super) draw: f64, // From 0 to 1: below the origin's share it may have the origin asked.
    pub(super) attempts: u32,
    pub(super) in_flight: Option<Attempt>,
    pub(super) streaming: bool,
    pub(super) client_left: bool,
    pub(super) failed_fills: u32, // Attempts that failed by their source, or may have, or that a parent lacked.
    pub(super) stuck: u32,        // Attempts called off as stuck.
    pub(super) unexplained_errors: u32, // Attempts that servers failed without a reason.
    pub(super) first_failed_server: Option<ServerId>, // The server of the first of these: judged once another one serves the request.
    pub(super) known_miss: bool, // Its cache was only looked into and holds no copy: it must be filled.
    pub(super) tried_servers: Vec<ServerId>,
    pub(super) excluded_sources: Vec<ServerId>,
    /// First attempt that may have run: when it was sent, and its server's zone and cell.
    pub(super) may_have_run: Option<(Micros, usize, u64)>,
}

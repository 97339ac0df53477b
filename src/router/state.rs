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
pub(super) struct Known {
    pub(super) role: Role,
    pub(super) zone: usize,
    pub(super) cell: u64,
    pub(super) weight: f64,
    pub(super) state: State,
    pub(super) started: Option<Micros>,
    pub(super) lost: bool, // It could not be reached; when it answers again, its process is taken to have just started.
    pub(super) back: Option<Micros>,
    pub(super) failing: f64, // Share of recent attempts that failed by this server's fault.
    pub(super) marked_until: Micros,
    pub(super) strikes: u32, // Marks in a row; above 0 the server is on trial once its mark has run out.
    pub(super) on_trial: bool,
    pub(super) last_ok: Micros,
    pub(super) reset_at: Micros, // When a connection to it last broke.
    pub(super) out: usize,
    pub(super) mean_out: f64, // Transfers to it from here, averaged over `MEAN_S`.
    pub(super) hits: Pace<PACE_HALF_MS>, // Its recent hits from here.
    pub(super) fills: Pace<PACE_HALF_MS>, // Recent fills from it whose size was told.
    /// What was sent to it while cold: when, and its work in seconds.
    pub(super) charged: VecDeque<(Micros, f64, RequestId)>,
}

pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
    pub(super) sent: Micros,
    pub(super) overdue_at: Micros,
    pub(super) held: f64, // Transfers that the server held, this one with them, as far as could be judged.
    pub(super) fills: f64, // Fills by the location's link when it was sent, this one with them.
    pub(super) cancelled: bool,
    pub(super) stuck_at: Micros, // When sharing no longer explains that it is still out; called off for that.
    pub(super) stuck: bool,
    pub(super) fetches: bool, // Its source is a parent or the origin.
    pub(super) asks: bool,    // It may have the origin asked.
}

#[derive(Default)]
pub(super) struct Open {
    pub(super) class: usize,
    pub(super) unit: u64,
    pub(super) object: u64,
    pub(super) group: u64,
    pub(super) work_s: f64,
    pub(super) sized: bool,
    pub(super) count: f64,
    pub(super) repeats: f64,
    pub(super) aim_at: Micros,
    pub(super) deadline: Micros,
    pub(super) draw: f64, // From 0 to 1: below the origin's share it may have the origin asked.
    pub(super) attempts: u32,
    pub(super) out: Option<Attempt>,
    pub(super) begun: bool,
    pub(super) over: bool,
    pub(super) failed_fills: u32, // Attempts that failed by their source, or may have, or that a parent lacked.
    pub(super) stuck: u32,        // Attempts called off as stuck.
    pub(super) errors: u32,       // Attempts that servers failed without a reason.
    pub(super) erred: Option<ServerId>, // The server of the first of these: judged once another one serves the request.
    pub(super) missed: bool, // Its cache was only looked into and holds no copy: it must be filled.
    pub(super) tried: Vec<ServerId>,
    pub(super) bad_sources: Vec<ServerId>,
    /// First attempt that may have run: when it was sent, and its server's zone and cell.
    pub(super) may_have_run: Option<(Micros, usize, u64)>,
}

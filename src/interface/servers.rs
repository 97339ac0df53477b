//! The list of servers, and what a server reports of itself.

use super::{Micros, ServerId};

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left the list.
    #[default]
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// Name of its zone.
    pub zone: String,
    /// Its cell: the servers that share the idempotency keys they have seen.
    pub cell: u64,
    /// Its kind; see [`Settings::parent_kind`](super::Settings::parent_kind).
    pub kind: String,
    /// Its capacity; see [`Settings::weights_known`](super::Settings::weights_known).
    pub weight: f64,
    /// Whether it takes work.
    pub state: State,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// How much of the list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// All of it; servers that are not named are gone.
    Full,
    /// Only the entries that changed.
    Delta,
    /// None: the poll failed.
    Failed,
}

/// A server's load report; values that it does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of its processor time in use.
    pub cpu_utilisation: Option<f64>,
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Recent hit ratio.
    pub hit_ratio: Option<f64>,
    /// Of a cache: used share of its location's link. Of a parent: fetches in flight.
    pub link_utilisation: Option<f64>,
}

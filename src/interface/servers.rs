//! The server list and the load reports of servers.

use super::{Micros, ServerId};

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The server accepts new requests.
    Ready,
    /// The server finishes its requests in flight and accepts no new requests.
    Draining,
    /// The server has been removed from the list.
    #[default]
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Id of the server.
    pub id: ServerId,
    /// Name of the zone in which the server runs.
    pub zone: String,
    /// Cell of the server: servers in one cell share the idempotency keys that they have seen.
    pub cell: u64,
    /// Kind of the server; see [`Settings::parent_kind`](super::Settings::parent_kind).
    pub kind: String,
    /// Capacity of the server; see [`Settings::weights_known`](super::Settings::weights_known).
    pub weight: f64,
    /// Whether the server accepts new requests.
    pub state: State,
    /// Time of its last start; `None` if it started so long ago that it has its full capacity.
    pub started: Option<Micros>,
}

/// Extent of the server list that an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// The complete list; servers that are missing from it have been removed.
    Full,
    /// Only the entries that changed since the previous list.
    Delta,
    /// No entries, because the poll failed.
    Failed,
}

/// A server's load report; values that the server does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Fraction of the server's CPU time in use.
    pub cpu_utilisation: Option<f64>,
    /// Number of requests in flight at the server.
    pub in_flight: Option<f64>,
    /// Share of recent requests that the server answered from its cache.
    pub hit_ratio: Option<f64>,
    /// For a cache, the utilisation of its location's link; for a parent, the number of fetches in flight.
    pub link_utilisation: Option<f64>,
}

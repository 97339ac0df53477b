//! The list of servers, and what a server reports of itself.

use super::{Micros, ServerId};

/// Where a server is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Gone.
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
    /// Its cell: servers that share which keys they have seen.
    pub cell: u64,
    /// Its kind.
    pub kind: String,
    /// Its size; see `Settings::weights_known`.
    pub weight: f64,
    /// Where it is in its life.
    pub state: State,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
}

/// How much of the list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// All of it; what is not named is gone.
    Full,
    /// Changed entries only.
    Delta,
    /// The call for it failed.
    Failed,
}

/// A server's report of its load; values that it does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// How busy its cores are.
    pub util: Option<f64>,
    /// Requests that it holds.
    pub inflight: Option<f64>,
    /// Its recent share of hits.
    pub hit_share: Option<f64>,
    /// Of a cache: how full its location's link is. Of a parent: fetches out.
    pub link_use: Option<f64>,
}

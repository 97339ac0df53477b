//! Endpoint discovery: maintains the list of caches and the status of each.
//!
//! Sources (the event bus, Consul, a cached snapshot) report [`Evidence`]. An [`EndpointTable`] combines the evidence
//! of all sources and returns list events for the decision module, together with the reason for the status of each
//! cache. A [`ListValidator`] checks pushed lists before they are applied as evidence. The package is sans-IO: it opens
//! no sockets and reads no clock; each call is passed the current time as `now`.
//!
//! The following invariants hold for any sequence of reports. `tests/model.rs` checks the first two, and
//! `tests/endpoint_table.rs` checks the last one.
//!
//! - If any source reports a cache as draining, failing or gone, the same call publishes the cache as not ready.
//! - Damping suppresses at most a configured share of the caches of a zone and kind, and each of them for a limited
//!   time.
//! - If a relayed source is the only source, its events are published unchanged.

pub mod cached_snapshot;
mod damping;
mod endpoint_table;
mod evidence;
mod validation;

pub use damping::{Damping, DampingError, Penalty};
pub use endpoint_table::{EndpointTable, Limits, ListEvent, TableUpdate};
pub use evidence::{
    server_id, EndpointStatus, Entry, Evidence, Explanation, Notice, Reason, Report, Source,
    SourceId, StatusChange,
};
pub use validation::{ListValidator, ReceivedList, Rejection, ValidatedList};

//! The endpoint list of a proxy: which caches exist, and which of them may take work.
//!
//! Sources (the event bus, Consul, a cached snapshot) give [`Evidence`] with the time of its arrival. An
//! [`EndpointTable`] weighs it and gives out list events for the decision module, with the reason for each cache's
//! status. A [`ListValidator`] checks pushed lists before they become evidence. The package is sans-IO: it has no
//! sockets and no clock; time is the `now` of each call.
//!
//! Invariants, whatever the sources report and in whatever order (checked by `tests/model.rs`, the last one by
//! `tests/endpoint_table.rs`):
//!
//! - A cache that any source reports as draining, failing or gone is published as not ready by the same call.
//! - Damping alone suppresses at most a stated share of the caches of a zone and kind, and none for ever.
//! - The events of a relayed source that is the only one are published exactly as they came.

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

//! What a proxy believes of its boxes.
//!
//! Sources - the event bus, Consul, a kept list - give [`Evidence`] with the time at which it was told. A
//! [`EndpointTable`] weighs it and gives out the list events for the decision module, who may be given fresh work,
//! and for each box why. The package is sans-IO: it has no sockets and no clock; time is the `now` of each call.
//!
//! What holds, whatever the sources say and in whatever order (checked by `tests/model.rs`, the last
//! by `tests/endpoint_table.rs`):
//!
//! - A box that any source says drains, fails or is gone is given out as not ready by the call that tells it.
//! - Damping alone holds back at most a stated share of the boxes of a zone and kind, and none for ever.
//! - A relayed source with no other beside it is given out as it came, to the event.

mod damping;
mod endpoint_table;
mod evidence;
pub mod kept;
mod validation;

pub use damping::{Damping, DampingError, Penalty};
pub use endpoint_table::{EndpointTable, Limits, TableUpdate};
pub use evidence::{
    server_id, Change, EndpointStatus, Entry, Evidence, Explanation, Notice, Reason, Report,
    Source, SourceId,
};
pub use validation::{ListValidator, ReceivedList, Rejection};

//! Connections to cache servers. Many attempts share a connection, and responses arrive in any order. An
//! [`UpstreamConnection`] handles frames and ids; the event loop owns the sockets.
//!
//! An attempt starts when the socket accepts the first byte of its frame. Before that it is in the queue of the
//! connection, from which it is removed without effect on the cache if it is cancelled, if its cache drains, or if the
//! connection is never established. Whether an attempt may still run is checked when it starts, not when it is queued.
//!
//! * `connection`: the state of a connection, and which attempts it accepts;
//! * `sending`: the queue, aborts and health checks;
//! * `answers`: received responses;
//! * `recall`: withdrawn attempts, and the loss of the connection;
//! * `stream`, `frames`, `event`: the streams by their ids, the wire format, and the events for the core.

mod answers;
mod connection;
mod event;
mod frames;
mod recall;
mod sending;
mod stream;

pub use connection::UpstreamConnection;
pub use event::UpstreamEvent;

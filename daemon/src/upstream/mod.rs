//! Connections to cache servers: many attempts share one, and answers come in any order. An [`UpstreamConnection`] knows
//! frames and ids, not sockets.
//!
//! An attempt starts with the first byte of its frame that the socket takes. Until then it stays in the connection's
//! queue, from where it can be recalled without a trace: when it is given up, when its cache drains and when the
//! connection never comes up, it is only taken out there. What an attempt may still do is checked when it starts, not
//! when it is queued.
//!
//! * `connection`: the state of a connection, and which attempts it can take;
//! * `sending`: the queue, aborts and health checks on their way out;
//! * `answers`: answers on their way in;
//! * `recall`: attempts that are taken back, and the end of the connection;
//! * `stream`, `frames`, `event`: what is open under an id, the wire form, and what the core hears.

mod answers;
mod connection;
mod event;
mod frames;
mod recall;
mod sending;
mod stream;

pub use connection::UpstreamConnection;
pub use event::UpstreamEvent;

//! Sockets without a runtime: epoll, connections, buffers, numbered slots, deadlines and the clock.

mod clock;
mod conn;
mod deadlines;
mod poll;
mod ring;
mod slots;

pub use clock::Clock;
pub use conn::{bind_shared_udp, connect, Conn, Progress};
pub use deadlines::{Deadlines, Due};
pub use poll::{Interest, Poll, Ready};
pub use ring::Ring;
pub use slots::{Key, Slots};

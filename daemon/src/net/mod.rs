//! Non-blocking sockets without a runtime: epoll, connections, buffers, slots, deadlines and the clock.

mod clock;
mod conn;
mod deadlines;
mod errno;
pub mod failure_log;
pub mod injection;
mod listener;
mod poll;
mod ring_buffer;
mod slots;
mod syscall;

pub use clock::Clock;
pub use conn::{bind_shared_udp, connect, detach_shared_udp, Progress, TcpConnection};
pub use deadlines::{DeadlineId, Deadlines};
pub use errno::{classify, Call, Failure, FailureKind};
pub use listener::Listener;
pub use poll::{Interest, Poll, ReadyEvent};
pub use ring_buffer::RingBuffer;
pub use slots::{Key, SlotTable};
pub use syscall::{receive_from, send_to};

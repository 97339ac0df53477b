//! The HTTP/1.1 protocol of the admin API, with one call per connection.
//!
//! The [`Parser`] is sans-IO: it is fed bytes as they are received, and returns a complete [`Call`], or a [`CallError`]
//! after which the connection is closed with a 4xx response. It limits the length of the request line and the head, and
//! rejects bodies, invalid HTTP and incomplete calls.

mod call;
mod parser;
mod reply;

pub use call::{Call, CallError, MAX_POP_CACHE_ID_BYTES};
pub use parser::{Parser, MAX_HEADERS, MAX_HEAD_BYTES, MAX_REQUEST_LINE_BYTES};
pub use reply::Reply;

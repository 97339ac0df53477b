//! The admin API's HTTP/1.1: one call a connection, parsed incrementally and within bounds.
//!
//! The parser owns no socket: bytes go in as they are received, and out comes a complete [`Call`], a typed
//! [`CallError`] that ends the connection with a 4xx, or nothing yet. It protects against clients that send a line or a
//! head of any length, bodies where none belongs, bytes that are no HTTP, and incomplete calls.

mod call;
mod parser;
mod reply;

pub use call::{Call, CallError, MAX_POP_CACHE_ID_BYTES};
pub use parser::{Parser, MAX_HEADERS, MAX_HEAD_BYTES, MAX_REQUEST_LINE_BYTES};
pub use reply::Reply;

//! A sans-IO client of Consul's HTTP API, as far as a proxy needs it.
//!
//! [`Watch`] follows one service by blocking queries of the health API, verifies removals by the catalog API, and turns
//! the responses into evidence for discovery. [`Registration`] keeps the proxy itself registered with a TTL check.
//! Neither has a socket or a clock: the caller sends the [`Call`]s that they return, and reports the response or the
//! [`TransportError`] of each, with the time.
//!
//! Shapes and rules are those of Consul's published API documentation: 'Blocking Queries', 'Consistency Modes',
//! 'Health', 'Catalog', 'Agent Service' and 'Agent Check'.

mod backoff;
mod checks;
mod error;
mod http;
mod mapping;
mod registration;
mod schema;
mod splitter;
mod watch;

pub use backoff::Backoff;
pub use error::{CallError, KeyError, ListError, SkippedInstance, ValueError};
pub use http::{Call, Response, Token, TokenError, TransportError};
pub use mapping::{Identity, Mapping, MetaKeys};
pub use registration::{Registrant, Registration, RegistrationEvent};
pub use watch::{Consistency, Options, Watch, WatchEvent, WatchUpdate};

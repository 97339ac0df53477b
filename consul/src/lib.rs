//! A sans-IO client of Consul's HTTP API, as far as a proxy needs it.
//!
//! [`Watch`] follows one service by blocking queries of the health API, with the catalogue as a second opinion, and
//! turns the answers into evidence for the book of boxes. [`Registration`] keeps the proxy itself registered with a
//! TTL check. Neither has a socket or a clock: whoever drives them sends the [`Call`]s that they give and hands
//! back what came of each, with the time.
//!
//! The shapes and rules are those of Consul's published API pages: 'Blocking Queries', 'Consistency Modes', 'Health',
//! 'Catalog', 'Agent Service' and 'Agent Check'.

mod backoff;
mod http;
mod mapping;
mod registration;
mod schema;
mod watch;

pub use backoff::Backoff;
pub use http::{Call, Response, Token, TokenError, TransportError};
pub use mapping::{Identity, Mapping, MetaKeys};
pub use registration::{Registrant, Registration, RegistrationEvent};
pub use schema::SkippedInstance;
pub use watch::{Consistency, Options, Watch, WatchEvent, WatchUpdate};

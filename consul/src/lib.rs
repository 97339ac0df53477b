//! A sans-IO client of the parts of Consul's HTTP API that a proxy needs.
//!
//! [`Watch`] follows a service with blocking queries of the health API, confirms removals with the catalog API, and
//! converts the responses into evidence for discovery. [`Registration`] keeps the proxy registered with a TTL check.
//! Neither opens sockets or reads a clock: the caller sends the [`Call`]s that they return, and passes back the
//! response or the [`TransportError`] of each call together with the current time.
//!
//! The client follows Consul's API documentation: 'Blocking Queries', 'Consistency Modes', 'Health', 'Catalog', 'Agent
//! Service' and 'Agent Check'.

mod backoff;
mod checks;
mod error;
mod http;
mod mapping;
mod registration;
mod schema;
mod splitter;
mod timeouts;
mod watch;

pub use backoff::Backoff;
pub use error::{CallError, KeyError, ListError, SkippedInstance, ValueError};
pub use http::{Call, Response, Token, TokenError, TransportError};
pub use mapping::{Identity, Mapping, MetaKeys};
pub use registration::{Registrant, Registration, RegistrationEvent};
pub use timeouts::ResponseTimeouts;
pub use watch::{Consistency, Options, Watch, WatchEvent, WatchUpdate};
